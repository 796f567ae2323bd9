"""The octets of files that are read by a later process or by another version of the program."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

from tests.compatibility import bindings

MEMBER_FILE = '1 ec59c6bd8f73395b\n{"name":"e1","incarnation":4}'
LOAD_LIMITS = b'{"at":5000.5,"ceilings":{"h1":12.5,"h2":null}}'


def test_a_members_state_has_these_octets(tmp_path: Path) -> None:
    bindings.write_member_state(tmp_path, "e1", 4)
    stored = tmp_path / "member-6531"
    assert stored.read_bytes() == MEMBER_FILE.encode()
    stored.write_bytes(MEMBER_FILE.encode())
    assert bindings.read_member_state(tmp_path, "e1") == ("e1", 4)


def test_a_detached_host_is_an_empty_file_of_its_name_in_hexadecimal(tmp_path: Path) -> None:
    folder = tmp_path / "detached"
    bindings.mark_detached(folder, "host/é", True)
    assert [(path.name, path.read_bytes()) for path in folder.iterdir()] == [("686f73742fc3a9", b"")]
    (folder / "6831").touch()
    assert bindings.detached_hosts(folder) == {"host/é", "h1"}
    bindings.mark_detached(folder, "host/é", False)
    assert [path.name for path in folder.iterdir()] == ["6831"]


def test_a_process_of_an_upgrade_says_in_a_locked_file_whether_it_is_ready(tmp_path: Path) -> None:
    process = bindings.UpgradeProcess(tmp_path)
    assert process.file_name == f"00000001-{os.getpid()}"
    process.publish(True)
    count = bindings.open_descriptors()
    text = (tmp_path / process.file_name).read_bytes()
    assert text == b"1 %8d\n" % count
    process.publish(False)
    assert (tmp_path / process.file_name).read_bytes()[:2] == b"0 "
    with (tmp_path / "00000002-1").open("wb") as other:
        fcntl.flock(other, fcntl.LOCK_EX)
        other.write(b"1      321\n")
        other.flush()
        assert process.others() == [(True, True, 321)]
    process.end()
    assert [path.name for path in tmp_path.glob("*-*")] == ["00000002-1"]


def test_load_limits_are_left_to_the_next_process_in_these_octets(tmp_path: Path) -> None:
    process = bindings.UpgradeProcess(tmp_path)
    process.write_load_limits({"h1": 12.5, "h2": None}, 5000.5)
    assert (tmp_path / "word").read_bytes() == LOAD_LIMITS
    (tmp_path / "word").write_bytes(LOAD_LIMITS)
    assert process.read_load_limits(5001.0) == {"h1": 12.5, "h2": None}
    process.end()
