"""Files of server states."""

from __future__ import annotations

import pytest

from puffindeck.importer import haproxy
from puffindeck.importer.sections import SourceFile
from tests.importer.configurations import BACKENDS

STATE = """\
1
# be_id be_name srv_id srv_name srv_addr srv_op_state srv_admin_state srv_uweight srv_iweight
3 a 1 x 127.0.0.1 2 {admin} {weight} 1
4 b 1 y 127.0.0.1 0 0 7 1
"""


@pytest.mark.parametrize(
    ("admin", "weight", "state", "hint"),
    [
        (0, 5, "SERVING", 5),
        (8, 5, "DRAINING", 5),
        (1, 5, "DRAINING", 5),
        (4, 5, "SERVING", 5),
        (0, 0, "DRAINING", 1),
    ],
)
def test_administrative_state_and_weight_are_imported(
    admin: int, weight: int, state: str, hint: float
) -> None:
    text = STATE.format(admin=admin, weight=weight)
    table, report = haproxy.convert_files(
        [SourceFile("h.cfg", BACKENDS)], server_states=SourceFile("s", text)
    )
    imported = {t["uid"]: (t["state"], t["capacity_hint"]) for t in table["known"]["targets"]}
    assert imported == {"x": (state, hint), "y": ("SERVING", 7)}, "results of checks must not be imported"
    assert report.results["h.cfg:2"].disposition == ("changed" if admin & 9 else "carried")


@pytest.mark.parametrize(
    ("text", "location"),
    [
        ("", "s:1"),
        ("2\n", "s:1"),
        ("1\n# be_name srv_name\n", "s:2"),
        ("1\n3 a 1 x\n", "s:2"),
        (STATE.format(admin="x", weight=1), "s:3"),
        (STATE.format(admin=0, weight=999), "s:3"),
        (STATE.format(admin=0, weight=1) + "9 gone 1 z 127.0.0.1 2 0 1 1\n", "s:5"),
        (STATE.format(admin=0, weight=1) + "4 b 1 y 127.0.0.1 2 0 1 1\n", "s:5"),
        (STATE.format(admin=0, weight=1)[:-8], "s:4"),
    ],
)
def test_invalid_state_file_raises_an_error_with_its_location(text: str, location: str) -> None:
    with pytest.raises(haproxy.HaproxyImportError, match=f"^{location}: "):
        haproxy.convert_files([SourceFile("h.cfg", BACKENDS)], server_states=SourceFile("s", text))
