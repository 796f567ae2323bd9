"""Service discovery for all fronts: the protocol, and the numbers of endpoints, zones and keys."""
