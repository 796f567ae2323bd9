"""Tests of the simulator's protocol."""
