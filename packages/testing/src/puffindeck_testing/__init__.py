"""Stand-ins and fault injectors for tests and measurements."""
