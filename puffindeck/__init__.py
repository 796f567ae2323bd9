"""puffindeck: the decisions of a balancer for long-lived connections."""
