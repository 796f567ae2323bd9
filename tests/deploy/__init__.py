"""Tests of deploy."""
