"""Tests of net."""
