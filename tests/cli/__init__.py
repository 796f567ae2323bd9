"""Tests of command line."""
