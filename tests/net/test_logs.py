"""Log lines as text and as JSON."""

from __future__ import annotations

import json
import re
from typing import Any

import pytest
from twisted.logger import Logger, LogLevel

from puffindeck import config
from puffindeck.net.logs import json_line, line


def recorded_logger(namespace: str = "puffindeck") -> tuple[Logger, list[Any]]:
    seen: list[Any] = []
    observe: Any = seen.append
    return Logger(namespace, observer=observe), seen


def test_a_json_line_has_its_fields_and_the_same_text_as_a_text_line() -> None:
    log, seen = recorded_logger()
    log.warn("host {host}: can't connect: {error}", host="h1", error=OSError("no route"))
    document = json.loads(json_line(seen[0]) or "")
    assert {key: document[key] for key in ("level", "event", "text", "host", "error")} == {
        "level": "warn",
        "event": "host {host}: can't connect: {error}",
        "text": "host h1: can't connect: no route",
        "host": "h1",
        "error": "no route",
    }
    assert re.fullmatch(r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z", document["time"])
    assert (line(seen[0]) or "").endswith(f"warn {document['text']}\n")


def test_a_failure_has_its_traceback_on_the_same_line() -> None:
    log, seen = recorded_logger()
    try:
        raise ValueError("odd")
    except ValueError:
        log.failure("decision failed")
    written = json_line(seen[0]) or ""
    assert written.count("\n") == 1
    assert "ValueError: odd" in json.loads(written)["traceback"]


def test_info_lines_of_libraries_are_omitted() -> None:
    log, seen = recorded_logger("twisted.internet")
    log.emit(LogLevel.info, "starting factory")
    log.emit(LogLevel.warn, "something is wrong")
    assert [json_line(event) is None for event in seen] == [True, False]


def test_an_unknown_log_format_is_an_error_that_names_the_key(tmp_path: Any) -> None:
    (tmp_path / "o.toml").write_text('log = "xml"\n[settings]\n')
    with pytest.raises(config.ConfigError, match="log must be text or json"):
        config.load_node_config({}, str(tmp_path / "o.toml"))
