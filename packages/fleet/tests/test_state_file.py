"""A state file is read as it was written, or set aside."""

from __future__ import annotations

from pathlib import Path

import pytest

from puffindeck_fleet.errors import FolderUnusable, StateUnreadable
from puffindeck_fleet.state_file import MemberState, StateFile


def test_what_is_kept_is_whole_or_set_aside(tmp_path: Path) -> None:
    state_file = StateFile(tmp_path / "state", "e1")
    assert state_file.read() is None
    state_file.write(MemberState("e1", 4))
    assert state_file.read() == MemberState("e1", 4)
    whole = state_file.path.read_bytes()
    for damaged in (b"", whole[:-1], whole.replace(b"4", b"5"), b"9" + whole[1:], b"\xff\n{}", whole + b"\0"):
        state_file.path.write_bytes(damaged)
        with pytest.raises(StateUnreadable) as raised:
            state_file.read()
        assert "set aside" in str(raised.value)
        assert not state_file.path.exists()
        assert state_file.read() is None
    state_file.write(MemberState("e1", 6))
    (tmp_path / "file").write_text("")
    with pytest.raises(FolderUnusable):
        StateFile(tmp_path / "file" / "below", "e1").write(MemberState("e1", 1))
