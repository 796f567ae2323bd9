"""The command line for operators: `run`, `check`, `import haproxy`. The platform's node loads none of it."""
