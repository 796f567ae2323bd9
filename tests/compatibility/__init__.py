"""Tests of the octets that other processes read, which no renaming or refactoring may change.

The octets and the tests must not be edited. If a class or function is renamed or moved, only `bindings.py` is
adapted.
"""
