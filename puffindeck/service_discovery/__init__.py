"""Which endpoints there are: discovery's protocol, its names as numbers, and keys, for every front."""
