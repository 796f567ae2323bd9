"""Measurements that CI does not run. `python -m benchmarks.NAME` runs one, seeded, and prints a table."""
