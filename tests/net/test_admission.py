"""Admission control with few descriptors and many clients without a request."""

from __future__ import annotations

from unittest.mock import patch

from puffindeck.net import admission
from tests.support.node_test_case import REQUEST, NodeTestCase


class AdmissionTests(NodeTestCase):
    """Clients without a request that occupy descriptors."""

    async def test_hundreds_of_silent_clients_leave_descriptors_for_served_ones(self) -> None:
        self.build()
        self.node.admission.set_descriptor_limit(256)
        # A third of the descriptors is used by served clients, and as many by their hosts.
        with patch.object(self.node.admission, "_descriptors_in_use", lambda: 2 * 256 // 3):
            self.assertFalse(self.node.admission.is_out_of_descriptors())
        idle = [await self.client("PING") for _ in range(20)]
        watch = await self.accept_watch()
        self.send_update(watch, 2, False)
        for client in idle:
            self.assertEqual(await client.line(), b"PONG")
        slow = await self.client()  # sends its request later
        limit = 256 - admission.RESERVED_FOR_NODE - admission.RESERVED_FOR_REQUESTS
        silent = [await self.client() for _ in range(limit - 1)]
        await self.wait_until(lambda: all(client.end for client in idle), "the eviction of the idle clients")
        self.assertEqual(sum(peer.end is not None for peer in (slow, *silent)), 0)
        slow.write(REQUEST.encode() + b"\r\n")
        _, host = await self.accept_attempt()
        await host.line()
        host.write(b"UP r1\r\n")
        self.assertEqual(await slow.line(), b"UP r1")
        more = [await self.client() for _ in range(40)]
        await self.wait_until(
            lambda: sum(peer.end is not None for peer in silent) >= 40,
            "the eviction of the 40 oldest silent clients",
        )
        self.assertEqual(len(self.node.admission.waiting), limit - 2)  # a served client and its host use two
        self.assertIsNone(more[-1].end)  # the newest may still send a request
        with patch.object(self.node.admission, "_descriptors_in_use", lambda: 300):
            await self.client()
            control = self.node.admission
            await self.wait_until(
                lambda: len(control.waiting) == control.min_waiting, "evictions down to the minimum"
            )

    async def test_a_request_is_rejected_when_descriptors_run_out(self) -> None:
        self.build()
        client = await self.client()
        with patch("twisted.internet.tcp.Client.createInternetSocket", side_effect=OSError(24, "none left")):
            client.write(REQUEST.encode() + b"\r\n")
            self.assertRegex(await client.line(), rb"^BUSY \d+$")
        await self.establish(REQUEST)
        with patch.object(admission, "RESERVED_FOR_NODE", 1024):  # no descriptors for a client and its host
            other = await self.client(REQUEST)
            self.assertRegex(await other.line(), rb"^BUSY \d+$")
