"""Tests of rpc."""
