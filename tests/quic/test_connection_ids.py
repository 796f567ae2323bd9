"""Tests of connection ids with the QUIC-LB draft's own examples."""

from __future__ import annotations

from puffindeck.quic.connection_ids import ConnectionIds
from tests.support.quic_peers import KEY


def test_ids_match_the_drafts_examples() -> None:
    for config_id, server_id, nonce, connection_id in (
        (0, "ed793a", "ee080dbf", "0720b1d07b359d3c"),
        (1, "ed793a51d49b8f5fab65", "ee080dbf48", "2fcc381bc74cb4fbad2823a3d1f8fed2"),
        (2, "ed793a51d49b8f5f", "ee080dbf48c0d1e5", "504dd2d05a7b0de9b2b9907afb5ecf8cc3"),
        (3, "ed793a51d49b8f5fab", "ee080dbf48c0d1e55d", "725779c9cc86beb3a3a4a3ca96fce4bfe0cdbc"),
    ):
        ids = ConnectionIds(config_id, len(server_id) // 2, len(nonce) // 2, KEY)
        assert ids.issue(bytes.fromhex(server_id), bytes.fromhex(nonce)).hex() == connection_id
        assert ids.server_id(bytes.fromhex(connection_id)) == bytes.fromhex(server_id)
    unencrypted = ConnectionIds(0, 3, 4)
    plain = unencrypted.issue(bytes.fromhex("c4605e"), bytes.fromhex("4504cc4f"))
    assert plain.hex() == "07c4605e4504cc4f"
    assert unencrypted.server_id(b"\x27" + b"\0" * 7) is None
