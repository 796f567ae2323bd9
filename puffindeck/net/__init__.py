"""The TCP gateway of a node: its line-based client protocol, and service discovery over HTTP."""
