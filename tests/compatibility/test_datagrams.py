"""The octets of each kind of fleet datagram, quota message and residency message."""

from __future__ import annotations

from typing import Any

import pytest

from tests.compatibility import bindings

E1 = ("e1", 0, 3, 4503599627370496123, "127.0.0.1:7001", "eu")
E2 = ("e2", 2, 1, 77, "", "")
BODIES: list[tuple[int, tuple[Any, ...]]] = [
    (1, (81,)),
    (2, (81, "e2")),
    (3, (82, "e3")),
    (4, ("e3", 6, True, False)),
    (5, ()),
    (6, ([1, 0, 4294967295], True)),
    (7, (78, "127.0.0.1:7009")),
    (8, ("quota", b"\x00\x01\xff")),
]
ALLOCATION = ([("e1", 7, "eu"), ("e2", 8, "")], {"opens/10000//acme": 100})
QUOTA: list[tuple[int, tuple[Any, ...]]] = [
    (1, (7, "e1,e2", {"opens/10000//acme": 100}, {"opens/10000//acme#acme": (4, 12)})),
    (2, ("opens/10000//acme#acme", 4, 3, 1.5, 7)),
    (3, ("opens/10000//acme#acme", 4, 20, 8, 7, 30)),
    (4, (12, 65537)),
    (5, (12, 65537, 3, None)),
    (6, (12, 65537, ALLOCATION)),
    (7, (12, 65537)),
    (8, (12, ALLOCATION)),
    (9, (12,)),
]
RESIDENCY: list[tuple[int, tuple[Any, ...]]] = [
    (1, (3, "00112233aabbccdd")),
    (2, (3, "00112233aabbccdd")),
    (3, (3, "00112233aabbccdd", 0, 2, b'{"version":3}')),
]
DATAGRAMS: dict[int, str] = {
    1: (
        "7066013a2366cd428232847c3fcba498a26531cf3e8000000000007b0309a26532cf0000019ae0510f009201"
        "519296a265310003cf3e8000000000007bae3132372e302e302e313a37303031a2657596a2653202014da0a0"
    ),
    2: (
        "7066013a2366cd6790c4b059244d5798a26531cf3e8000000000007b0309a26532cf0000019ae0510f009302"
        "51a265329296a265310003cf3e8000000000007bae3132372e302e302e313a37303031a2657596a265320201"
        "4da0a0"
    ),
    3: (
        "7066013a2366cda2b5629037f66a5198a26531cf3e8000000000007b0309a26532cf0000019ae0510f009303"
        "52a265339296a265310003cf3e8000000000007bae3132372e302e302e313a37303031a2657596a265320201"
        "4da0a0"
    ),
    4: (
        "7066013a2366cd350669a5b99174ac98a26531cf3e8000000000007b0309a26532cf0000019ae0510f009504"
        "a2653306c3c29296a265310003cf3e8000000000007bae3132372e302e302e313a37303031a2657596a26532"
        "02014da0a0"
    ),
    5: (
        "7066013a2366cdd474744598409edf98a26531cf3e8000000000007b0309a26532cf0000019ae0510f009105"
        "9296a265310003cf3e8000000000007bae3132372e302e302e313a37303031a2657596a2653202014da0a0"
    ),
    6: (
        "7066013a2366cd8481586f9140402798a26531cf3e8000000000007b0309a26532cf0000019ae0510f009306"
        "930100ceffffffffc39296a265310003cf3e8000000000007bae3132372e302e302e313a37303031a2657596"
        "a2653202014da0a0"
    ),
    7: (
        "7066013a2366cde74ab7250d6a910e98a26531cf3e8000000000007b0309a26532cf0000019ae0510f009307"
        "4eae3132372e302e302e313a373030399296a265310003cf3e8000000000007bae3132372e302e302e313a37"
        "303031a2657596a2653202014da0a0"
    ),
    8: (
        "7066013a2366cd0b7f9e7be6cce58198a26531cf3e8000000000007b0309a26532cf0000019ae0510f009308"
        "a571756f7461c4030001ff9296a265310003cf3e8000000000007bae3132372e302e302e313a37303031a265"
        "7596a2653202014da0a0"
    ),
}
QUOTA_OCTETS: dict[int, str] = {
    1: (
        "950107a565312c653281b16f70656e732f31303030302f2f61636d656481b66f70656e732f31303030302f2f"
        "61636d652361636d6592040c"
    ),
    2: ("9602b66f70656e732f31303030302f2f61636d652361636d650403cb3ff800000000000007"),
    3: ("9703b66f70656e732f31303030302f2f61636d652361636d65041408071e"),
    4: ("93040cce00010001"),
    5: ("95050cce0001000103c0"),
    6: ("94060cce00010001929293a2653107a2657593a2653208a081b16f70656e732f31303030302f2f61636d6564"),
    7: ("93070cce00010001"),
    8: ("93080c929293a2653107a2657593a2653208a081b16f70656e732f31303030302f2f61636d6564"),
    9: ("92090c"),
}
RESIDENCY_OCTETS: dict[int, str] = {
    1: ("930103b030303131323233336161626263636464"),
    2: ("930203b030303131323233336161626263636464"),
    3: ("960303b0303031313232333361616262636364640002c40d7b2276657273696f6e223a337d"),
}


def datagram(tag: int, fields: tuple[Any, ...]) -> bytes:
    """A datagram from e1 to e2 with two member updates."""
    body = bindings.MEMBERSHIP_MESSAGES[tag](*fields)
    updates = [bindings.member_update(*E1), bindings.member_update(*E2)]
    return bindings.datagram("sfpx", "e1", 4503599627370496123, 3, 9, "e2", 1764700000000, body, updates)


def quota_message(tag: int, fields: tuple[Any, ...]) -> Any:
    """A quota message. An allocation among its fields is given as a tuple of the allocation's own fields."""
    made = [bindings.quota_allocation(*f) if isinstance(f, tuple) and len(f) == 2 else f for f in fields]
    return bindings.QUOTA_MESSAGES[tag](*made)


@pytest.mark.parametrize(("tag", "fields"), BODIES)
def test_a_datagram_of_each_kind_has_these_octets(tag: int, fields: tuple[Any, ...]) -> None:
    octets = bytes.fromhex(DATAGRAMS[tag])
    assert datagram(tag, fields).hex() == octets.hex()
    assert bindings.datagram("sfpx", *bindings.read_datagram("sfpx", octets)) == octets
    assert type(bindings.read_datagram("sfpx", octets)[6]) is bindings.MEMBERSHIP_MESSAGES[tag]


def test_there_is_no_further_kind() -> None:
    assert sorted(bindings.MEMBERSHIP_MESSAGES) == [tag for tag, _ in BODIES]
    assert sorted(bindings.QUOTA_MESSAGES) == [tag for tag, _ in QUOTA]
    assert sorted(bindings.RESIDENCY_MESSAGES) == [tag for tag, _ in RESIDENCY]


@pytest.mark.parametrize(("tag", "fields"), QUOTA)
def test_a_quota_message_of_each_kind_has_these_octets(tag: int, fields: tuple[Any, ...]) -> None:
    octets = bytes.fromhex(QUOTA_OCTETS[tag])
    assert bindings.encode_quota(quota_message(tag, fields)).hex() == octets.hex()
    assert bindings.decode_quota(octets) == quota_message(tag, fields)


@pytest.mark.parametrize(("tag", "fields"), RESIDENCY)
def test_a_residency_message_of_each_kind_has_these_octets(tag: int, fields: tuple[Any, ...]) -> None:
    octets = bytes.fromhex(RESIDENCY_OCTETS[tag])
    message = bindings.RESIDENCY_MESSAGES[tag](*fields)
    assert bindings.encode_residency(message).hex() == octets.hex()
    assert bindings.decode_residency(octets) == message
