"""The importer: what HAProxy's format says comes out as an operator's file that the node reads."""

from __future__ import annotations

import json
import subprocess
import sys
import time
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

import pytest

from puffindeck import config
from puffindeck.importer import haproxy, lexer
from puffindeck.importer.keywords import keyword_table

ROOT = Path(__file__).parents[2]
COMMAND = ("-m", "puffindeck.cli", "import", "haproxy")
GOOD = """\
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


def test_all_that_counts_is_carried_over_and_the_rest_named(tmp_path: Path) -> None:
    (tmp_path / "h.cfg").write_text(GOOD)
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
    assert sorted(verdicts) == list(range(1, GOOD.count("\n") + 1))  # each statement once
    refused = [line for line, v in verdicts.items() if v["verdict"] == "refused"]
    assert refused == [20, 23, 24]
    assert [line for line, v in verdicts.items() if v["traffic"]] == [20, 23, 24]
    assert verdicts[20]["says"] == "ssl: no TLS towards servers; verify: no TLS towards servers"
    assert (verdicts[3]["verdict"], verdicts[7]["verdict"]) == ("harmless", "changed")
    assert "h.cfg:20: refused, traffic is affected: server b" in done.stderr
    told = config.load_node_config({}, str(tmp_path / "o.toml"))
    assert told.listen == ("127.0.0.1", 7000)
    assert told.sockets == 4064
    assert told.settings.max_attempts == 3
    assert told.settings.connect_timeout_ms == 300
    assert told.settings.classes[0].deadline_ms == 3000
    assert told.settings.bound == 1.5
    assert [(t.uid, t.endpoint, t.capacity_hint, t.state) for t in told.known.targets] == [
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
def test_bad_input_is_named_by_file_and_line(text: str, line: int) -> None:
    with pytest.raises(haproxy.HaproxyImportError, match=rf"^h\.cfg:{line}: "):
        haproxy.convert("h.cfg", text)


class CommandStories(TestCase):
    """The command's ends."""

    def test_bad_input_ends_it_with_two(self) -> None:
        done = subprocess.run(
            [sys.executable, *COMMAND, "no-such-file"], capture_output=True, text=True, cwd=ROOT
        )
        self.assertEqual((done.returncode, done.stdout), (2, ""))

    def test_several_backends_arrive_as_pools_unless_one_is_chosen(self) -> None:
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

    def test_a_refusal_that_traffic_feels_is_an_end_of_its_own_and_writes_nothing(self) -> None:
        with TemporaryDirectory() as folder:
            source, out = Path(folder, "h.cfg"), Path(folder, "o.toml")
            out.write_text("as it was")
            command = [sys.executable, *COMMAND, str(source), "-o", str(out), "--strict"]
            for text, code in (
                ("backend b\n server a 127.0.0.1:1\n use-server a if TRUE\n", 3),
                ("backend b\n server a 127.0.0.1:1\n server 'a\n", 2),
                ("backend b\n \xe9\n", 2),
            ):
                source.write_text(text, encoding="latin-1")
                done = subprocess.run(command, capture_output=True, text=True, cwd=ROOT)
                self.assertEqual((done.returncode, out.read_text()), (code, "as it was"), done.stderr)
            self.assertIn("h.cfg:2: not UTF-8", done.stderr)
            source.write_text("backend b\n server a 127.0.0.1:1 check\n")
            self.assertEqual(subprocess.run(command, capture_output=True, cwd=ROOT).returncode, 0)
            self.assertIn("127.0.0.1:1", out.read_text())


BASE = "backend b\n server a 127.0.0.1:1\n"


@pytest.mark.parametrize("place", ["global", "proxy", "server", "bind"])
def test_every_keyword_of_the_table_gets_its_verdict_alone_and_together(place: str) -> None:
    def text(*names: str) -> str:
        if place == "global":
            return "global\n" + "".join(f" {name} 1\n" for name in names) + BASE
        if place == "proxy":
            return BASE + "".join(f" {name} {'1s' if 'timeout' in name else 'x'}\n" for name in names)
        if place == "server":
            follow = {name: " 1" * keyword_table()[place][name].argument_count for name in names}
            return BASE + "".join(
                f" server s{i} 127.0.0.1:{i + 2} {name}{follow[name]}\n" for i, name in enumerate(names)
            )
        follow = {name: " 1" * keyword_table()[place][name].argument_count for name in names}
        return BASE + "".join(
            f"frontend f{i}\n bind :{i + 1} {name}{follow[name]}\n default_backend b\n"
            for i, name in enumerate(names)
        )

    names = [name.replace("*", "x") for name in keyword_table()[place] if name != "*"]
    if place == "server":
        names = [name for name in keyword_table()[place] if not name.endswith("*")]
    for some in (*([name] for name in names), names):
        _, report = haproxy.convert("h.cfg", text(*some))
        assert not report.without_disposition()
        assert len(report.results) == sum(bool(line.strip()) for line in text(*some).splitlines())
        assert sum(report.counts().values()) == len(report.results)
        assert not [e for e in report.results.values() if "not a keyword" in "; ".join(e.notes)]


@pytest.mark.parametrize(
    ("line", "verdict", "says"),
    [
        ("server x 127.0.0.1:2 backup", "carried", ""),
        ("no option forwardfor", "harmless", "not here at all"),
        ("option redispatch", "changed", "another server"),
        ("fly me-to-the-moon", "traffic", "not a keyword"),
        ("server x 127.0.0.1:2 check teleport on weight 3", "traffic", "teleport: not an option"),
        ("timeout client 1m", "changed", "within 7 s"),
        ("bind :9 name x ssl crt /etc/y teleport", "refused", "does not listen"),
        ("maxconn 9", "refused", "whole node"),
        ("source 10.0.0.1", "traffic", "own address"),
        ("balance source", "changed", "first line"),
    ],
)
def test_what_looks_alike_is_told_apart(line: str, verdict: str, says: str) -> None:
    made, report = haproxy.convert("h.cfg", f"{BASE} {line}\n")
    entry = report.results["h.cfg:3"]
    assert (entry.disposition, says in "; ".join(entry.notes)) == (verdict, True), entry
    if "backup" in line:  # it must not take traffic, as it would not there
        pool = made["routing"]["pools"]["b"]
        assert (pool["members"], pool["backups"]) == (["a"], [["x"]])


def test_twenty_thousand_lines_are_read_in_time() -> None:
    text = BASE + "".join(f" server s{i} 10.0.0.1:{i + 1} check weight {i % 256}\n" for i in range(20000))
    began = time.perf_counter()
    lexer.read_lines("h.cfg", text)
    assert time.perf_counter() - began < 20  # about 0.5 s; a machine that is busy takes longer
