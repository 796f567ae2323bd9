"""Converts the configuration of other load balancers to an operator's file."""
