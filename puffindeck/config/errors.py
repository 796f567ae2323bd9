"""Errors of configuration. Each names the file or the invalid key and says what an operator must change."""

from __future__ import annotations


class ConfigError(ValueError):
    """A configuration cannot be used. The text is one line that names the file or the key."""


class ConfigUnreadable(ConfigError):
    """A configuration file cannot be read at this moment; a later attempt may succeed."""


class MissingKeyError(ConfigError):
    """A key that has no default is missing, so the operator must add it.

    `location` is the table that lacks the key, `key` the dotted path of the key in that table.
    """

    def __init__(self, location: str, key: str) -> None:
        super().__init__(f"{location}: {key} is missing")
        self.location = location
        self.key = key


class InvalidValueError(ConfigError):
    """The value of a key cannot be used: the operator must change it to meet the requirement.

    `key` is the dotted path of the key, `requirement` begins with "must".
    """

    def __init__(self, key: str, requirement: str) -> None:
        super().__init__(f"{key} {requirement}")
        self.key = key
        self.requirement = requirement
