"""Transfers: permits move to the gateway with demand, and only the receiving process can use them."""

from __future__ import annotations

from puffindeck_messaging import MessageReceived, SendMessage
from puffindeck_quota import Limit, Rejection, Unit
from puffindeck_quota.messages import ENCODER, TransferRequest
from puffindeck_testing.gateways import WINDOW_MS, Gateways


def test_permits_move_to_the_gateway_with_demand_within_one_second() -> None:
    fleet = Gateways((Limit("acme", Unit.OPENED_CONNECTIONS, 2000, WINDOW_MS),))
    fleet.settle()
    fleet.run(2, {"e1": 100.0})
    fleet.run(1, {"e4": 100.0})
    available = {
        name: int(str(quota.status(fleet.now_ms)[0]["held_here"]))
        for name, quota in fleet.gateways.items()
        if quota.status(fleet.now_ms)
    }
    assert available["e4"] >= 0.9 * sum(available.values()), available


def test_restarted_gateway_does_not_receive_permits_transferred_to_its_earlier_process() -> None:
    fleet = Gateways((Limit("acme", Unit.OPENED_CONNECTIONS, 30, WINDOW_MS),), names=("e1", "e2", "e3"))
    fleet.settle()
    donor = fleet.gateways["e2"]
    key, window = "opens/10000//acme#acme", fleet.window
    request = ENCODER.encode(TransferRequest(key, window, 0, 50.0, fleet.gateways["e1"].process_incarnation))
    transfers = [a for a in donor.handle(fleet.now_ms, [MessageReceived("e1", request)]) if isinstance(a, SendMessage)]
    fleet.kill("e1")
    fleet.start("e1")
    restarted = fleet.gateways["e1"]
    restarted.handle(fleet.now_ms, [MessageReceived("e2", message.data) for message in transfers if message.to == "e1"])
    answer = restarted.admit("acme", fleet.now_ms, fleet.now_ms + 100)
    assert isinstance(answer, Rejection)
    assert len(transfers) > 0
