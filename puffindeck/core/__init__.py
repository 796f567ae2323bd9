"""Requests, attempts and outcomes, independent of the wire."""
