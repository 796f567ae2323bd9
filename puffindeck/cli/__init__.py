"""The command line for operators: `run`, `check`, `import haproxy`. Nodes on the platform do not load it."""
