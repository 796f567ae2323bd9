"""Faults under a real process: its clock, system calls, disk and network, each switched while it runs."""
