"""Tests of core."""
