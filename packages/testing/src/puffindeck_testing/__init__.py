"""Test doubles and fault injection for tests and benchmarks."""
