"""HAProxy's lines as words, lossless: what was read can be written back byte for byte. No I/O.

From the configuration manual, 2.2 (quoting and escaping) and 2.3 (environment variables): words stand between
blanks; `\\` makes the next character plain, or is one of `\\n \\r \\t \\xHH`; strong quotes keep all as it
is; weak ones know `\\"`, `\\\\`, `\\$` and variables; `#` begins a comment where it stands in no quotes.
"""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

BLANKS = " \t"
ESCAPES = {"n": "\n", "r": "\r", "t": "\t"}
NAME = "[A-Za-z_.][A-Za-z0-9_.]*"
VARIABLE = re.compile(rf"\$(?:({NAME})|\{{({NAME})(\[\*\])?(?:-([^}}]*))?\}})")
MOST = 2048  # characters of a line, HAProxy's own limit by default (LINESIZE)
MOST_WORDS = 64  # of a line, HAProxy's own limit (MAX_LINE_ARGS)


class SyntaxFault(ValueError):
    """A line that HAProxy would not read either. `at` is FILE:LINE, and the text begins with it."""

    def __init__(self, at: str, why: str) -> None:
        super().__init__(f"{at}: {why}")
        self.at, self.why = at, why


@dataclass(slots=True)
class Word:
    """A word as it is meant, and as it was written."""

    text: str
    raw: str
    unset: tuple[str, ...] = ()  # variables that it names and nobody has set


@dataclass(slots=True)
class Line:
    """A line of a file: its words, and between them and around them what makes it whole again."""

    file: str
    number: int
    words: list[Word] = field(default_factory=list)
    gaps: list[str] = field(default_factory=lambda: [""])  # before each word, and after the last one
    comment: str = ""
    end: str = "\n"

    @property
    def at(self) -> str:
        """Where it stands, as FILE:LINE."""
        return f"{self.file}:{self.number}"

    @property
    def texts(self) -> list[str]:
        """Its words as they are meant."""
        return [word.text for word in self.words]

    def written(self) -> str:
        """The line as it was read."""
        parts = [gap + word.raw for gap, word in zip(self.gaps, self.words, strict=False)]
        return "".join(parts) + self.gaps[-1] + self.comment + self.end


class _Reader:
    """One line on its way into words."""

    def __init__(self, at: str, text: str, environment: Mapping[str, str]) -> None:
        self.at, self.text, self.environment = at, text, environment
        self.place = 0
        self.unset: list[str] = []
        self.split: list[str] | None = None  # the rest of a list of words that a variable holds

    def gap(self) -> str:
        begun = self.place
        while self.place < len(self.text) and self.text[self.place] in BLANKS:
            self.place += 1
        return self.text[begun : self.place]

    def words(self) -> Iterator[Word]:
        """The word at this place; several, where a variable holds a list of them."""
        begun, self.unset = self.place, []
        meant, more = "", list[str]()
        while self.place < len(self.text):
            character = self.text[self.place]
            if character in BLANKS or character == "#":
                break
            self.place += 1
            if character == "\\":
                meant += self._escaped()
            elif character == "'":
                meant += self._strong()
            elif character == '"':
                parts = self._weak()
                meant += parts[0]
                if len(parts) > 1:
                    more += [meant, *parts[1:-1]]
                    meant = parts[-1]
            else:
                meant += character
        raw = self.text[begun : self.place]
        for i, text in enumerate([*more, meant]):
            yield Word(text, "" if i else raw, tuple(self.unset) if not i else ())

    def _escaped(self) -> str:
        if self.place >= len(self.text):
            raise SyntaxFault(self.at, "a \\ with nothing behind it")
        character = self.text[self.place]
        self.place += 1
        if character != "x":
            return ESCAPES.get(character, character)
        digits = self.text[self.place : self.place + 2]
        if not re.fullmatch("[0-9A-Fa-f]{2}", digits):
            raise SyntaxFault(self.at, f"\\x wants two hexadecimal digits, not {digits!r}")
        self.place += 2
        return chr(int(digits, 16))

    def _strong(self) -> str:
        end = self.text.find("'", self.place)
        if end < 0:
            raise SyntaxFault(self.at, "a ' is never closed")
        meant, self.place = self.text[self.place : end], end + 1
        return meant

    def _weak(self) -> list[str]:
        """What stands in weak quotes: one part, or as many as a list of words has."""
        parts = [""]
        while self.place < len(self.text):
            character = self.text[self.place]
            if character == '"':
                self.place += 1
                return parts
            if character == "\\" and self.text[self.place + 1 : self.place + 2] in ('"', "\\", "$"):
                parts[-1] += self.text[self.place + 1]
                self.place += 2
            elif character == "\\" and self.text[self.place + 1 : self.place + 2] in (*ESCAPES, "x"):
                self.place += 1
                parts[-1] += self._escaped()
            elif character == "$" and (found := VARIABLE.match(self.text, self.place)):
                self.place = found.end()
                value = self._value(found)
                several = value.split() if found[3] else [value]
                parts[-1] += several[0] if several else ""
                parts += several[1:]
            else:
                parts[-1] += character
                self.place += 1
        raise SyntaxFault(self.at, 'a " is never closed')

    def _value(self, found: re.Match[str]) -> str:
        name = found[1] or found[2]
        if name in self.environment:
            return self.environment[name]
        if found[4] is not None:
            return found[4]
        self.unset.append(name)
        return ""


def lines(file: str, text: str, environment: Mapping[str, str] | None = None) -> list[Line]:
    """All lines of a file's text. SyntaxFault names the first that can't be read.

    `environment` has the variables that weak quotes name; words say which of theirs nobody has set.
    """
    found = []
    for number, whole in enumerate(re.split(r"(?<=\n)", text), 1):
        if not whole:
            continue
        body = whole.removesuffix("\n").removesuffix("\r")
        line = Line(file, number, end=whole[len(body) :])
        if "\0" in body:
            raise SyntaxFault(line.at, "a NUL byte")
        if len(body) > MOST:
            raise SyntaxFault(line.at, f"over {MOST} characters")
        reader = _Reader(line.at, body, environment or {})
        line.gaps = [reader.gap()]
        while reader.place < len(body) and body[reader.place] != "#":
            for word in reader.words():
                line.words.append(word)
                line.gaps.append("")
            line.gaps[-1] = reader.gap()
        if len(line.words) > MOST_WORDS:
            raise SyntaxFault(line.at, f"over {MOST_WORDS} words")
        line.comment = body[reader.place :]
        found.append(line)
    return found


def written(all_lines: list[Line]) -> str:
    """A file's text as it was read."""
    return "".join(line.written() for line in all_lines)
