"""Requests, attempts and outcomes, whatever wire they come over."""
