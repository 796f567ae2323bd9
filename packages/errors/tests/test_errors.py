"""The texts of an error, and the order of a tree of error classes."""

from __future__ import annotations

from puffindeck_errors import OperatorError, describe, subclass_tree


class Root(OperatorError):
    message_template = "the tank is empty"


class Child(Root):
    message_template = "the tank at {where} has {remaining} litres left."
    remedy_template = "Fill it up to {capacity} litres."


def test_error_contains_what_happened_where_and_the_remedy() -> None:
    error = Child("pump 2", remaining=0.2, capacity=3)
    assert str(error) == "the tank at pump 2 has 0.2 litres left."
    assert error.remedy == "Fill it up to 3 litres."
    assert describe(error) == f"Child: pump 2: {error} Fill it up to 3 litres."


def test_subclass_tree_lists_a_class_before_its_subclasses() -> None:
    assert subclass_tree(Root) == [Root, Child]
