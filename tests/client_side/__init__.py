"""Tests of client_side."""
