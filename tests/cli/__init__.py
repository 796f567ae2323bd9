"""Tests of puffindeck.cli."""
