"""The platform's front: lines of text over TCP, and discovery over HTTP."""
