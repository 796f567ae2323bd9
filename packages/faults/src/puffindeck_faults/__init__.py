"""Faults under a real process: its machine's clock, system calls and network, each switched while it runs."""
