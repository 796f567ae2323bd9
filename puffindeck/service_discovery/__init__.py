"""Which servers there are: discovery's words, its names as numbers, and keys, whatever front asks."""
