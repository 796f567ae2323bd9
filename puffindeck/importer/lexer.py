"""Splits lines of HAProxy's configuration into words, without I/O.

Lexing is lossless: `render` writes the text back byte for byte.

Blanks separate words. `\\` escapes the next character or begins one of `\\n \\r \\t \\xHH`. Strong quotes
preserve their content. Weak quotes support `\\"`, `\\\\`, `\\$` and variables. An unquoted `#` begins a
comment.

Source: HAProxy's configuration manual, 2.2 (quoting and escaping) and 2.3 (environment variables).
"""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

BLANKS = " \t"
ESCAPES = {"n": "\n", "r": "\r", "t": "\t"}
ESCAPABLE_IN_WEAK_QUOTES = ('"', "\\", "$")  # characters that a backslash escapes
VARIABLE_NAME = "[A-Za-z_.][A-Za-z0-9_.]*"
VARIABLE = re.compile(
    rf"\$(?:({VARIABLE_NAME})|\{{(?P<name>{VARIABLE_NAME})(?P<list>\[\*\])?(?:-(?P<default>[^}}]*))?\}})"
)
MAX_LINE_CHARACTERS = 2048  # HAProxy's default limit (LINESIZE)
MAX_LINE_WORDS = 64  # HAProxy's limit (MAX_LINE_ARGS)


class HaproxySyntaxError(ValueError):
    """A line is not valid in HAProxy's syntax. `location` is FILE:LINE, and the message begins with it."""

    def __init__(self, location: str, problem: str) -> None:
        super().__init__(f"{location}: {problem}")
        self.location = location
        self.problem = problem


@dataclass(slots=True)
class Word:
    """A word of a line: its value after quotes, escapes and variables are resolved, and its source text."""

    text: str
    raw: str
    unset: tuple[str, ...] = ()  # unset variables that the word uses


@dataclass(slots=True)
class Line:
    """A line of a file: its words, the blanks around them, the comment and the line ending."""

    file: str
    number: int
    words: list[Word] = field(default_factory=list)
    gaps: list[str] = field(default_factory=lambda: [""])  # blanks before each word, and after the last word
    comment: str = ""
    end: str = "\n"

    @property
    def location(self) -> str:
        """The location of the line, as FILE:LINE."""
        return f"{self.file}:{self.number}"

    @property
    def texts(self) -> list[str]:
        """The values of the line's words."""
        return [word.text for word in self.words]

    def render(self) -> str:
        """Return the source text of the line."""
        parts = [gap + word.raw for gap, word in zip(self.gaps, self.words, strict=False)]
        return "".join(parts) + self.gaps[-1] + self.comment + self.end


class _LineReader:
    """Splits one line into words."""

    def __init__(self, location: str, text: str, environment: Mapping[str, str]) -> None:
        self.position = 0
        self._location = location
        self._text = text
        self._environment = environment
        self._unset: list[str] = []  # unset variables of the current word

    def at_end(self) -> bool:
        """Return whether at most a comment remains."""
        return self.position >= len(self._text) or self._text[self.position] == "#"

    def read_blanks(self) -> str:
        """Consume and return the blanks at the current position."""
        begin = self.position
        while self.position < len(self._text) and self._text[self.position] in BLANKS:
            self.position += 1
        return self._text[begin : self.position]

    def read_words(self) -> Iterator[Word]:
        """Consume the word at the current position, and yield it.

        A variable that expands to a list yields several words, the first of which has the whole source text.
        """
        begin = self.position
        self._unset = []
        texts = [""]
        while self.position < len(self._text) and self._text[self.position] not in (*BLANKS, "#"):
            first, *remaining = self._read_piece()
            texts[-1] += first
            texts += remaining
        raw = self._text[begin : self.position]
        yield Word(texts[0], raw, tuple(self._unset))
        for text in texts[1:]:
            yield Word(text, "")

    def _read_piece(self) -> list[str]:
        """Consume a plain character, an escape or a quoted part, and return its text.

        A variable that expands to a list yields several texts.
        """
        character = self._text[self.position]
        self.position += 1
        if character == "\\":
            return [self._read_escape()]
        if character == "'":
            return [self._read_strong_quotes()]
        if character == '"':
            return self._read_weak_quotes()
        return [character]

    def _error(self, problem: str) -> HaproxySyntaxError:
        return HaproxySyntaxError(self._location, problem)

    def _read_escape(self) -> str:
        if self.position >= len(self._text):
            raise self._error("a \\ with nothing after it")
        character = self._text[self.position]
        self.position += 1
        if character != "x":
            return ESCAPES.get(character, character)
        digits = self._text[self.position : self.position + 2]
        if not re.fullmatch("[0-9A-Fa-f]{2}", digits):
            raise self._error(f"\\x requires two hexadecimal digits, not {digits!r}")
        self.position += 2
        return chr(int(digits, 16))

    def _read_strong_quotes(self) -> str:
        end = self._text.find("'", self.position)
        if end < 0:
            raise self._error("a ' is never closed")
        quoted = self._text[self.position : end]
        self.position = end + 1
        return quoted

    def _read_weak_quotes(self) -> list[str]:
        """Consume a part in weak quotes. Returns one text, or one for each word of a list."""
        parts = [""]
        while self.position < len(self._text):
            if self._text[self.position] == '"':
                self.position += 1
                return parts
            first, *remaining = self._read_weakly_quoted_piece()
            parts[-1] += first
            parts += remaining
        raise self._error('a " is never closed')

    def _read_weakly_quoted_piece(self) -> list[str]:
        character = self._text[self.position]
        following = self._text[self.position + 1 : self.position + 2]
        variable = VARIABLE.match(self._text, self.position) if character == "$" else None
        if variable:
            self.position = variable.end()
            value = self._value_of(variable)
            return (value.split() or [""]) if variable["list"] else [value]
        self.position += 1
        if character == "\\" and following in ESCAPABLE_IN_WEAK_QUOTES:
            self.position += 1
            return [following]
        if character == "\\" and following in (*ESCAPES, "x"):
            return [self._read_escape()]
        return [character]

    def _value_of(self, variable: re.Match[str]) -> str:
        name = variable[1] or variable["name"]
        if name in self._environment:
            return self._environment[name]
        if variable["default"] is not None:
            return variable["default"]
        self._unset.append(name)
        return ""


def _read_line(line: Line, body: str, environment: Mapping[str, str]) -> None:
    """Set the words, gaps and comment of a line from its text without the line ending."""
    if "\0" in body:
        raise HaproxySyntaxError(line.location, "a NUL byte")
    if len(body) > MAX_LINE_CHARACTERS:
        raise HaproxySyntaxError(line.location, f"over {MAX_LINE_CHARACTERS} characters")
    reader = _LineReader(line.location, body, environment)
    line.gaps = [reader.read_blanks()]
    while not reader.at_end():
        for word in reader.read_words():
            line.words.append(word)
            line.gaps.append("")
        line.gaps[-1] = reader.read_blanks()
    if len(line.words) > MAX_LINE_WORDS:
        raise HaproxySyntaxError(line.location, f"over {MAX_LINE_WORDS} words")
    line.comment = body[reader.position :]


def read_lines(file: str, text: str, environment: Mapping[str, str] | None = None) -> list[Line]:
    """Split a file's text into lines. Raises HaproxySyntaxError for the first invalid line.

    `environment` maps the variables that may be used in weak quotes to their values.
    """
    lines = []
    for number, source_line in enumerate(re.split(r"(?<=\n)", text), 1):
        if not source_line:
            continue
        body = source_line.removesuffix("\n").removesuffix("\r")
        line = Line(file, number, end=source_line[len(body) :])
        _read_line(line, body, environment or {})
        lines.append(line)
    return lines


def render(lines: list[Line]) -> str:
    """Return the source text of a file's lines."""
    return "".join(line.render() for line in lines)
