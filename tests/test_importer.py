"""The importer: what HAProxy's format says comes out as an operator's file that the node reads."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from unittest import TestCase

import pytest

from puffindeck import config
from puffindeck.importer import haproxy

ROOT = Path(__file__).parent.parent
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
    done = subprocess.run([sys.executable, "-m", "puffindeck.importer", str(tmp_path / "h.cfg"),
                           "-o", str(tmp_path / "o.toml")], capture_output=True, text=True, cwd=ROOT)
    assert done.returncode == 0, done.stderr
    lines = [int(note.split(":")[1]) for note in done.stderr.splitlines()]
    assert lines == [3, 7, 20, 23, 24]
    assert "h.cfg:20: server b: ssl verify none: not carried over" in done.stderr
    told = config.node({}, str(tmp_path / "o.toml"))
    assert told.listen == ("127.0.0.1", 7000)
    assert told.sockets == 4064
    assert told.settings.max_attempts == 3
    assert told.settings.connect_timeout_ms == 300
    assert told.settings.classes[0].deadline_ms == 3000
    assert told.settings.bound == 1.5
    assert [(t.uid, t.endpoint, t.capacity_hint, t.state) for t in told.known.targets] == [
        ("a", "127.0.0.1:6001", 50, "SERVING"), ("b", "127.0.0.1:6002", 100, "SERVING"),
        ("c", "127.0.0.1:6003", 1, "DRAINING"), ("d", "[::1]:6004", 50, "DRAINING"),
    ]


@pytest.mark.parametrize(("text", "line"), [
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
])
def test_bad_input_is_named_by_file_and_line(text: str, line: int) -> None:
    with pytest.raises(haproxy.ImportError_, match=rf"^h\.cfg:{line}: "):
        haproxy.convert("h.cfg", text)


class CommandStories(TestCase):
    """The command's ends."""

    def test_bad_input_ends_it_with_two(self) -> None:
        done = subprocess.run([sys.executable, "-m", "puffindeck.importer", "no-such-file"],
                              capture_output=True, text=True, cwd=ROOT)
        self.assertEqual((done.returncode, done.stdout), (2, ""))

    def test_several_backends_want_a_choice(self) -> None:
        text = "backend a\n server x 127.0.0.1:1\nbackend b\n server y 127.0.0.1:2\n"
        with self.assertRaises(haproxy.ImportError_):
            haproxy.convert("h.cfg", text)
        table, notes = haproxy.convert("h.cfg", text, "b")
        self.assertEqual([t["uid"] for t in table["known"]["targets"]], ["y"])
        self.assertIn("h.cfg:1: backend a: not carried over", notes)
