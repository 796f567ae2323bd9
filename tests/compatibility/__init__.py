"""Bytes that other processes read: literal octets that no rename and no refactoring may change.

The tests of this package stay as they are. Where a class or a function gets another name or another module,
`bindings.py` alone follows.
"""
