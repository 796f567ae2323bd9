"""HAProxy's lines as words: what the manual's sections 2.2 and 2.3 say, and nothing lost."""

from __future__ import annotations

import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from puffindeck.importer import haproxy
from puffindeck.importer.lexer import HaproxySyntaxError, read_lines, render

ENVIRONMENT = {"HOST": "10.0.0.1", "LIST": "a b  c", "EMPTY": ""}


def words(text: str) -> list[str]:
    (line,) = read_lines("h.cfg", text, ENVIRONMENT)
    return line.texts


@pytest.mark.parametrize(
    ("text", "wanted"),
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
def test_a_line_is_read_as_the_manual_says(text: str, wanted: list[str]) -> None:
    assert words(text) == wanted
    assert render(read_lines("h.cfg", text, ENVIRONMENT)) == text


@pytest.mark.parametrize(
    ("text", "why"),
    [
        ("a\nb 'open\n", "h.cfg:2: a ' is never closed"),
        ('"open', 'h.cfg:1: a " is never closed'),
        ("a \\", r"h.cfg:1: a \\ with nothing"),
        (r"\xZZ", "h.cfg:1: .x wants two hexadecimal digits"),
        ("\n\na\0b", "h.cfg:3: a NUL byte"),
        ("a" * 3000, "h.cfg:1: over 2048"),
        ("a " * 65, "h.cfg:1: over 64 words"),
    ],
)
def test_what_cant_be_read_names_its_line(text: str, why: str) -> None:
    with pytest.raises(HaproxySyntaxError, match=why):
        read_lines("h.cfg", text)


def test_a_variable_that_nobody_has_set_is_named() -> None:
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


def test_twenty_thousand_lines_are_read_in_time() -> None:
    text = "backend b\n server a 127.0.0.1:1\n" + "".join(
        f" server s{i} 10.0.0.1:{i + 1} check weight {i % 256}\n" for i in range(20000)
    )
    began = time.perf_counter()
    read_lines("h.cfg", text)
    assert time.perf_counter() - began < 20  # about 0.5 s; a machine that is busy takes longer
