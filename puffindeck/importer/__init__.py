"""Configuration of other balancers, read into an operator's file."""
