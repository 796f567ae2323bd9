"""Tests of the deployed program."""
