"""Fault injection for real processes of the program: faults of their clock, system calls, disk and network."""
