"""Tests of simulator."""
