"""Import of whole configurations: an operator's file that the node can load, or an error."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from unittest import TestCase

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from puffindeck import config
from puffindeck.importer import haproxy
from tests.importer.configurations import BACKENDS

ROOT = Path(__file__).parents[2]
COMMAND = ("-m", "puffindeck.cli", "import", "haproxy")
SAMPLE = """\
global
    maxconn 2000
    log /dev/log local0
defaults
    mode tcp
    timeout connect 4s
    timeout client 1m
    retries 2
frontend desks
    bind 127.0.0.1:7000
    default_backend boxes
backend boxes
    balance hdr(x-desk)   # by desk
    hash-type consistent
    hash-balance-factor 150
    timeout connect 300ms
    timeout server 3s
    default-server weight 50
    server a 127.0.0.1:6001 check inter 2s
    server b "127.0.0.1:6002" weight 100 ssl verify none
    server c 127.0.0.1:6003 weight 0
    server d [::1]:6004 disabled
    server e box.example:6005
    stick-table type ip size 1m
"""


def test_supported_statements_are_imported_and_others_are_reported(tmp_path: Path) -> None:
    (tmp_path / "h.cfg").write_text(SAMPLE)
    done = subprocess.run(
        [
            sys.executable,
            *COMMAND,
            str(tmp_path / "h.cfg"),
            "-o",
            str(tmp_path / "o.toml"),
            "--report",
            str(tmp_path / "r.json"),
        ],
        capture_output=True,
        text=True,
        cwd=ROOT,
    )
    assert done.returncode == 0, done.stderr
    report = json.loads((tmp_path / "r.json").read_text())
    verdicts = {int(v["at"].rsplit(":", 1)[1]): v for v in report["verdicts"]}
    assert sorted(verdicts) == list(range(1, SAMPLE.count("\n") + 1))  # each statement once
    refused = [line for line, v in verdicts.items() if v["verdict"] == "refused"]
    assert refused == [20, 23, 24]
    assert [line for line, v in verdicts.items() if v["traffic"]] == [20, 23, 24]
    assert verdicts[20]["says"] == "ssl: no TLS towards servers; verify: no TLS towards servers"
    assert (verdicts[3]["verdict"], verdicts[7]["verdict"]) == ("harmless", "changed")
    assert "h.cfg:20: refused, traffic is affected: server b" in done.stderr
    imported = config.load_node_config({}, str(tmp_path / "o.toml"))
    assert imported.listen == ("127.0.0.1", 7000)
    assert imported.max_descriptors == 4064
    assert imported.settings.max_attempts == 3
    assert imported.settings.connect_timeout_ms == 300
    assert imported.settings.classes[0].deadline_ms == 3000
    assert imported.settings.bound == 1.5
    assert [(t.uid, t.endpoint, t.capacity_hint, t.state) for t in imported.file_endpoints.targets] == [
        ("a", "127.0.0.1:6001", 50, "SERVING"),
        ("b", "127.0.0.1:6002", 100, "SERVING"),
        ("c", "127.0.0.1:6003", 1, "DRAINING"),
        ("d", "[::1]:6004", 50, "DRAINING"),
    ]


@pytest.mark.parametrize(
    ("text", "line"),
    [
        ("server a 127.0.0.1:1\n", 1),
        ("backend b\n  server a 127.0.0.1:99999\n", 2),
        ("backend b\n  server a 127.0.0.1:1\n  timeout connect soon\n", 3),
        ("backend b\n  server a 127.0.0.1:1 weight many\n", 2),
        ("backend b\n  server a 127.0.0.1:1\n  server a 127.0.0.1:2\n", 3),
        ("backend b\n  server a 'open\n", 2),
        ("backend b\n  hash-balance-factor 90\n", 2),
        ("backend b\n  timeout connect\n", 2),
        ("backend b\n  server a host.example:80\n", 1),
        ("backend b\nbackend b\n", 2),
        ("backend\n", 1),
    ],
)
def test_error_for_invalid_input_has_file_and_line(text: str, line: int) -> None:
    with pytest.raises(haproxy.HaproxyImportError, match=rf"^h\.cfg:{line}: "):
        haproxy.convert("h.cfg", text)


@pytest.mark.parametrize(
    ("text", "line"),
    [
        ("frontend f\n bind :7\n use_backend nowhere\n" + BACKENDS, 3),
        ("frontend f\n bind :7\n default_backend nowhere\n" + BACKENDS, 3),
        ("frontend f\n bind :7\n use_backend a if { nbsrv(nowhere) lt 1 }\n" + BACKENDS, 3),
        ("frontend f\n bind :7\n acl x\n" + BACKENDS, 3),
        (".if streq(a,a)\n" + BACKENDS, 1),
        (".else\n" + BACKENDS, 1),
        (".if feature(OPENSSL)\n.endif\n" + BACKENDS, 1),
        (".if (1\n.endif\n" + BACKENDS, 1),
        (".if 1\n.else\n.elif 1\n.endif\n" + BACKENDS, 3),
        ('.if 1\n.error "not this one"\n.endif\n' + BACKENDS, 2),
        (BACKENDS + ' server z "127.0.0.1:${NOBODY}"\n', 5),
        ("defaults a from b\n mode tcp\n" + BACKENDS, 1),
        ("backend a\n server-template x 3-1 127.0.0.1:1\n", 2),
    ],
)
def test_error_for_invalid_routes_and_blocks_has_file_and_line(text: str, line: int) -> None:
    with pytest.raises(haproxy.HaproxyImportError, match=rf"^h\.cfg:{line}: "):
        haproxy.convert("h.cfg", text)


class BackendSelectionTests(TestCase):
    """Selection of the backends to import."""

    def test_all_backends_become_pools_unless_one_is_selected(self) -> None:
        text = "backend a\n server x 127.0.0.1:1\nbackend b\n server y 127.0.0.1:2\n"
        table, report = haproxy.convert("h.cfg", text)
        self.assertEqual(
            {name: pool["members"] for name, pool in table["routing"]["pools"].items()},
            {"a": ["x"], "b": ["y"]},
        )
        table, report = haproxy.convert("h.cfg", text, "b")
        self.assertEqual([t["uid"] for t in table["known"]["targets"]], ["y"])
        self.assertEqual(
            [e.disposition for e in report.results.values()], ["traffic", "refused", "changed", "carried"]
        )


WORDS = st.sampled_from(
    [
        "acl",
        "use_backend",
        "default_backend",
        "server",
        "bind",
        "backend",
        "frontend",
        "listen",
        "defaults",
        "from",
        "a",
        "b",
        "if",
        "unless",
        "{",
        "}",
        "!",
        "or",
        "src",
        "10.0.0.0/8",
        "127.0.0.1:1",
        ":80",
        "weight",
        "5",
        "backup",
        "maxconn",
        "timeout",
        "connect",
        "1s",
        "nbsrv(a)",
        "lt",
        "balance",
        "source",
        "option",
        "allbackups",
        "no",
        "server-template",
        "1-3",
        ".if",
        ".else",
        ".endif",
        "1",
        "slowstart",
        "disabled",
        '"${X}"',
        "retries",
        "#",
    ]
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(lines=st.lists(st.lists(WORDS, max_size=8).map(" ".join), max_size=12))
def test_whatever_the_words_the_importer_ends_with_a_file_or_an_error(lines: list[str]) -> None:
    text = "\n".join(["backend a", " server s 127.0.0.1:9", *lines]) + "\n"
    try:
        _, report = haproxy.convert("h.cfg", text, environment={"X": "a b"})
    except haproxy.HaproxyImportError as error:
        named = str(error)
    else:
        named = "h.cfg:"
        assert not report.without_disposition()
        assert len(report.results) == sum(bool(line.split("#")[0].strip()) for line in text.splitlines())
    assert named.startswith("h.cfg:")
