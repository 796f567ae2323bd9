"""Requests, attempts and their outcomes, independent of the transport protocol."""
