"""What an error says, and the order of a tree."""

from __future__ import annotations

from puffindeck_errors import OperatorError, describe, subclass_tree


class Root(OperatorError):
    message_template = "the kettle is cold"


class Child(Root):
    message_template = "the kettle at {where} has {left} litres left."
    remedy_template = "Fill it up to {most} litres."


def test_an_error_says_what_where_and_what_to_do() -> None:
    error = Child("shelf 2", left=0.2, most=3)
    assert str(error) == "the kettle at shelf 2 has 0.2 litres left."
    assert error.remedy == "Fill it up to 3 litres."
    assert describe(error) == f"Child: shelf 2: {error} Fill it up to 3 litres."


def test_a_tree_has_each_kind_under_its_own() -> None:
    assert subclass_tree(Root) == [Root, Child]
