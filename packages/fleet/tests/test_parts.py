"""Frames, the kept file, and the fleet's tables of a node's file: what is damaged is told by kind or by key."""

from __future__ import annotations

import copy
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from puffindeck import config
from puffindeck.config.fleet import duration_ms, installation
from puffindeck_fleet.errors import FolderUnusable, StateUnreadable
from puffindeck_fleet.keeping import Keeper, Kept
from puffindeck_fleet.wire import FRAME, MOST, VERSION, Dropped, Wire
from puffindeck_membership import Envelope, MemberUpdate, Payload
from puffindeck_membership.messages import Ping

ENVELOPE = Envelope("e1", 7, 1, 5, "e2", 1000, Ping(3), [MemberUpdate("e1", 0, 1, 7, "127.0.0.1:7001", "north")])


def kind(data: bytes, wire: Wire) -> str:
    try:
        wire.read(data)
    except Dropped as dropped:
        return dropped.kind
    return ""


def test_a_datagram_comes_back_as_it_was_and_others_fleets_and_versions_are_told_apart() -> None:
    wire = Wire("sfpx")
    data = wire.write(ENVELOPE)
    assert wire.read(data) == ENVELOPE
    assert kind(data, Wire("other")) == "foreign"
    assert kind(data[:2] + bytes([VERSION + 1]) + data[3:], wire) == "newer"
    assert kind(data[: FRAME.size - 1], wire) == "short"
    assert kind(b"x" * 60, wire) == "garbage"
    assert kind(data[:-1], wire) == "damaged"
    with pytest.raises(ValueError, match="octets"):
        wire.write(Envelope("e1", 7, 1, 5, "e2", 1000, Payload("quota", b"x" * MOST)))


def test_fields_of_a_later_version_are_passed_over() -> None:
    import msgspec
    from xxhash import xxh64_intdigest

    wire = Wire("sfpx")
    fields = msgspec.msgpack.decode(msgspec.msgpack.encode(ENVELOPE))
    payload = msgspec.msgpack.encode([*fields, "a field of later", {"more": 1}])
    frame = wire.write(ENVELOPE)[: FRAME.size]
    magic, version, fleet, _ = FRAME.unpack(frame)
    assert wire.read(FRAME.pack(magic, version, fleet, xxh64_intdigest(payload, fleet)) + payload) == ENVELOPE


@settings(derandomize=True, max_examples=300)
@given(st.binary(max_size=80), st.integers(0, 200), st.integers(0, 7))
def test_no_octets_raise_anything_else(noise: bytes, at: int, bit: int) -> None:
    wire = Wire("sfpx")
    assert kind(noise, wire)
    data = bytearray(wire.write(ENVELOPE))
    data[at % len(data)] ^= 1 << bit
    assert kind(bytes(data), wire) in ("garbage", "newer", "foreign", "damaged", "")  # an older version is read


def test_what_is_kept_is_whole_or_set_aside(tmp_path: Path) -> None:
    keeper = Keeper(tmp_path / "state", "e1")
    assert keeper.read() is None
    keeper.write(Kept("e1", 4))
    assert keeper.read() == Kept("e1", 4)
    whole = keeper.path.read_bytes()
    for damaged in (b"", whole[:-1], whole.replace(b"4", b"5"), b"9" + whole[1:], b"\xff\n{}", whole + b"\0"):
        keeper.path.write_bytes(damaged)
        with pytest.raises(StateUnreadable) as raised:
            keeper.read()
        assert "set aside" in str(raised.value)
        assert not keeper.path.exists()
        assert keeper.read() is None
    keeper.write(Kept("e1", 6))
    (tmp_path / "file").write_text("")
    with pytest.raises(FolderUnusable):
        Keeper(tmp_path / "file" / "below", "e1").write(Kept("e1", 1))


FLEET: dict[str, Any] = {"name": "sfpx", "bind": "127.0.0.1:7001", "peers": {"e2": "127.0.0.1:7002"}}
QUOTA: dict[str, Any] = {
    "tenants": [{"name": "acme", "when": [[{"on": "group", "is": ["5c0f6e1a2b3d4c59"]}]]}],
    "limits": [{"tenant": "acme", "opens": 600, "window": "60s", "slices": 6}, {"tenant": "*", "standing": 9}],
}
RESIDENCY: dict[str, Any] = {
    "version": 7,
    "regions": {"north": ["atlanta"], "south": ["memphis"]},
    "services": [{"name": "claims", "when": [[{"on": "class", "is": ["c"]}]], "allowed": ["north"]}],
}


def test_the_tables_are_read_with_their_defaults() -> None:
    found = installation(FLEET, QUOTA, RESIDENCY, "e1")
    assert found is not None
    assert found.quota is not None
    assert found.residency is not None
    assert found.voters == ("e1", "e2")
    sliced, standing = found.quota.limits
    assert (sliced.amount, sliced.window_ms, sliced.strict) == (100, 10000, True)
    assert (standing.unit, standing.tenant) == ("standing", "*")
    assert (found.residency.book.version, found.residency.refuses) == (7, True)
    assert installation(None, None, None, "e1") is None


@pytest.mark.parametrize(
    ("path", "value", "named"),
    [
        ("fleet.bind", "127.0.0.1:0", "fleet.bind"),
        ("fleet.bind", "x", "fleet.bind"),
        ("fleet.name", "", "fleet.name"),
        ("fleet.peers.e1", "127.0.0.1:9", "fleet.peers.e1"),
        ("fleet.peers.e2", "nowhere", "fleet.peers.e2"),
        ("fleet.folder", 3, "folder"),
        ("fleet.strange", 1, "strange"),
        ("quota.limits.0.window", "", "quota.limits.0..window"),
        ("quota.limits.0.window", "60", "quota.limits.0..window"),
        ("quota.limits.0.opens", 0, "quota.limits.0..opens"),
        ("quota.limits.0.seconds", 9, "quota.limits.0."),
        ("quota.limits.0.tenant", "nobody", "quota.limits.0..tenant"),
        ("quota.limits.1.window", "9s", "quota.limits.1."),
        ("quota.limits.0.slices", 601, "quota.limits.0..slices"),
        ("quota.skew", "5s", "quota.skew"),
        ("quota.tenants.0.name", "*", "quota.tenants.0..name"),
        ("quota.tenants.0.when", [[]], "quota.tenants.0..when"),
        ("quota.epoch", "1.5ms", "quota.epoch"),
        ("residency.version", 0, "residency.version"),
        ("residency.stale", "x", "residency.stale"),
        ("residency.services.0.allowed", ["west"], "residency.services.0..allowed"),
        ("residency.services.0.allowed", [], "residency.services.0..allowed"),
        ("residency.services.0.transit", ["west"], "residency.services.0..transit"),
        ("residency.services.0.standing", "x", "residency.services.0..standing"),
        ("residency.regions.south", ["atlanta"], "residency.regions.south"),
        ("residency.stale_after", "soon", "residency.stale_after"),
    ],
)
def test_a_wrong_key_is_named(path: str, value: object, named: str) -> None:
    tables: Any = copy.deepcopy({"fleet": FLEET, "quota": QUOTA, "residency": RESIDENCY})
    *outer, last = path.split(".")
    inner = tables
    for key in outer:
        inner = inner[int(key) if key.isdigit() else key]
    inner[last] = value
    with pytest.raises(config.ConfigError) as raised:
        installation(tables["fleet"], tables["quota"], tables["residency"], "e1")
    assert named.replace(".0.", "[0]").replace(".1.", "[1]") in str(raised.value)


def test_quotas_and_rules_need_a_fleet_and_an_operators_file(tmp_path: Path) -> None:
    for quota, rules in ((QUOTA, None), (None, RESIDENCY)):
        with pytest.raises(config.ConfigError, match=r"needs a .fleet. table"):
            installation(None, quota, rules, "e1")
    file = tmp_path / "node.json"
    file.write_bytes(Path("examples/node.json").read_bytes().rstrip()[:-1] + b', "fleet": {"name": "x", "bind": "y"}}')
    with pytest.raises(config.ConfigError, match="operator's file's only"):
        config.node({"EDGE_CONFIG": str(file)})


def test_the_example_files_are_read() -> None:
    for number in (1, 2, 3):
        told = config.node({}, f"deploy/operator-fleet-{number}.toml")
        assert told.installation.fleet.name == "sfpx"
        assert len(told.installation.voters) == 3


@pytest.mark.parametrize(("text", "ms"), [("250ms", 250), ("60s", 60000), ("1.5m", 90000), ("1h", 3600000)])
def test_spans(text: str, ms: float) -> None:
    assert duration_ms(text, "key") == ms
