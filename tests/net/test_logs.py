"""Log lines as JSON: fields, not words."""

from __future__ import annotations

import json
import re
from typing import Any

import pytest
from twisted.logger import Logger, LogLevel

from puffindeck import config
from puffindeck.net.logs import json_line, line


def events(namespace: str = "puffindeck") -> tuple[Logger, list[Any]]:
    seen: list[Any] = []
    observe: Any = seen.append
    return Logger(namespace, observer=observe), seen


def test_a_line_has_its_fields_and_the_text_that_the_page_for_staff_has() -> None:
    log, seen = events()
    log.warn("host {host}: can't connect: {error}", host="h1", error=OSError("no route"))
    told = json.loads(json_line(seen[0]) or "")
    assert {key: told[key] for key in ("level", "event", "text", "host", "error")} == {
        "level": "warn",
        "event": "host {host}: can't connect: {error}",
        "text": "host h1: can't connect: no route",
        "host": "h1",
        "error": "no route",
    }
    assert re.fullmatch(r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z", told["time"])
    assert (line(seen[0]) or "").endswith(f"warn {told['text']}\n")


def test_a_fault_has_its_traceback_on_the_same_line() -> None:
    log, seen = events()
    try:
        raise ValueError("odd")
    except ValueError:
        log.failure("decision failed")
    written = json_line(seen[0]) or ""
    assert written.count("\n") == 1
    assert "ValueError: odd" in json.loads(written)["traceback"]


def test_libraries_small_talk_is_left_out() -> None:
    log, seen = events("twisted.internet")
    log.emit(LogLevel.info, "starting factory")
    log.emit(LogLevel.warn, "something is wrong")
    assert [json_line(event) is None for event in seen] == [True, False]


def test_another_kind_of_log_is_an_error_that_names_the_key(tmp_path: Any) -> None:
    (tmp_path / "o.toml").write_text('log = "xml"\n[settings]\n')
    with pytest.raises(config.ConfigError, match="log must be text or json"):
        config.load_node_config({}, str(tmp_path / "o.toml"))
