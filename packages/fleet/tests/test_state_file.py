"""A state file is read as it was written, or is renamed if it is invalid."""

from __future__ import annotations

from pathlib import Path

import pytest

from puffindeck_fleet.errors import FolderUnusable, StateUnreadable
from puffindeck_fleet.state_file import MemberState, StateFile


def test_corrupt_state_file_is_set_aside_and_reported(tmp_path: Path) -> None:
    state_file = StateFile(tmp_path / "state", "e1")
    assert state_file.read() is None
    state_file.write(MemberState("e1", 4))
    assert state_file.read() == MemberState("e1", 4)
    valid = state_file.path.read_bytes()
    for corrupt in (b"", valid[:-1], valid.replace(b"4", b"5"), b"9" + valid[1:], b"\xff\n{}", valid + b"\0"):
        state_file.path.write_bytes(corrupt)
        with pytest.raises(StateUnreadable) as raised:
            state_file.read()
        assert "set aside" in str(raised.value)
        assert not state_file.path.exists()
        assert state_file.read() is None
    state_file.write(MemberState("e1", 6))
    (tmp_path / "file").write_text("")
    with pytest.raises(FolderUnusable):
        StateFile(tmp_path / "file" / "below", "e1").write(MemberState("e1", 1))
