"""Lexing of lines into words by sections 2.2 and 2.3 of HAProxy's manual, without loss."""

from __future__ import annotations

import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from puffindeck.importer import haproxy
from puffindeck.importer.lexer import HaproxySyntaxError, read_lines, render

ENVIRONMENT = {"HOST": "10.0.0.1", "LIST": "a b  c", "EMPTY": ""}


def words(text: str) -> list[str]:
    """Return the words of a single line."""
    (line,) = read_lines("h.cfg", text, ENVIRONMENT)
    return line.texts


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("  server\ta   b # a comment", ["server", "a", "b"]),
        (r"a\ b c\#d \\ \n \x41", ["a b", "c#d", "\\", "\n", "A"]),
        ("'a \"b\" # \\n' \"c 'd' # e\"", ['a "b" # \\n', "c 'd' # e"]),
        (r'"a \" \\ \$HOST"', ['a " \\ $HOST']),
        ('"$HOST:80" "${HOST}:81" $HOST', ["10.0.0.1:80", "10.0.0.1:81", "$HOST"]),
        ('"${NONE-else}" "${EMPTY-else}" "$"', ["else", "", "$"]),
        ('x"${LIST[*]}"y z', ["xa", "b", "cy", "z"]),
        ("a'b'\"c\"d", ["abcd"]),
        ('""', [""]),
        ("# nothing", []),
    ],
)
def test_line_is_split_into_words_and_rendered_unchanged(text: str, expected: list[str]) -> None:
    assert words(text) == expected
    assert render(read_lines("h.cfg", text, ENVIRONMENT)) == text


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("a\nb 'open\n", "h.cfg:2: a ' is never closed"),
        ('"open', 'h.cfg:1: a " is never closed'),
        ("a \\", r"h.cfg:1: a \\ with nothing"),
        (r"\xZZ", "h.cfg:1: .x requires two hexadecimal digits"),
        ("\n\na\0b", "h.cfg:3: a NUL byte"),
        ("a" * 3000, "h.cfg:1: over 2048"),
        ("a " * 65, "h.cfg:1: over 64 words"),
    ],
)
def test_error_for_an_invalid_line_has_its_location(text: str, message: str) -> None:
    with pytest.raises(HaproxySyntaxError, match=message):
        read_lines("h.cfg", text)


def test_error_for_an_unset_variable_names_it() -> None:
    (line,) = read_lines("h.cfg", 'bind "${NOBODY}:80"')
    assert line.words[1].unset == ("NOBODY",)
    with pytest.raises(haproxy.HaproxyImportError, match=r'^h.cfg:2: "\$\{NOBODY\}:1": NOBODY is not set'):
        haproxy.convert("h.cfg", 'backend b\n server a "${NOBODY}:1"\n')
    table, _ = haproxy.convert("h.cfg", 'backend b\n server a "${HOST}:1"\n', environment=ENVIRONMENT)
    assert table["known"]["targets"][0]["endpoint"] == "10.0.0.1:1"


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.text(alphabet=" \t\n\r\\'\"#${}[*]-aAx0:é", max_size=60))
def test_whatever_is_read_is_written_back(text: str) -> None:
    try:
        found = read_lines("h.cfg", text, ENVIRONMENT)
    except HaproxySyntaxError as error:
        assert str(error).startswith("h.cfg:")  # noqa: PT017
        return
    assert render(found) == text
    assert [line.number for line in found] == list(range(1, len(found) + 1))


def test_twenty_thousand_lines_are_split_within_the_limit() -> None:
    text = "backend b\n server a 127.0.0.1:1\n" + "".join(
        f" server s{i} 10.0.0.1:{i + 1} check weight {i % 256}\n" for i in range(20000)
    )
    started = time.perf_counter()
    read_lines("h.cfg", text)
    assert time.perf_counter() - started < 20  # s; usually about 0.5 s, but longer on a busy machine
