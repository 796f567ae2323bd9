"""Few descriptors, and many clients without a request."""

from __future__ import annotations

from unittest.mock import patch

from puffindeck.net import admission
from tests.support.node_test_case import REQUEST, NodeTestCase


class AdmissionStories(NodeTestCase):
    """Strangers that take descriptors."""

    async def test_hundreds_of_silent_clients_leave_room_for_the_usual_ones(self) -> None:
        self.build()
        self.node.admission.set_descriptor_limit(256)
        # a third of all, and their hosts
        with patch.object(self.node.admission, "_descriptors_in_use", lambda: 2 * 256 // 3):
            self.assertFalse(self.node.admission.is_out_of_descriptors())
        told = [await self.client("PING") for _ in range(20)]
        watch = await self.accept_watch()
        self.send_update(watch, 2, False)
        for front in told:
            self.assertEqual(await front.line(), b"PONG")
        usual = await self.client()  # its line takes its time
        room = 256 - admission.RESERVED_FOR_NODE - admission.RESERVED_FOR_REQUESTS
        rude = [await self.client() for _ in range(room - 1)]
        await self.wait_until(lambda: all(front.end for front in told), "who was told PONG to go first")
        self.assertEqual(sum(peer.end is not None for peer in (usual, *rude)), 0)
        usual.write(REQUEST.encode() + b"\r\n")
        _, host = await self.accept_attempt()
        await host.line()
        host.write(b"UP r1\r\n")
        self.assertEqual(await usual.line(), b"UP r1")
        more = [await self.client() for _ in range(40)]
        await self.wait_until(
            lambda: sum(peer.end is not None for peer in rude) >= 40, "the first ones to go"
        )
        self.assertEqual(len(self.node.admission.waiting), room - 2)  # a served one's two are taken off
        self.assertIsNone(more[-1].end)  # who came last may yet ask
        with patch.object(self.node.admission, "_descriptors_in_use", lambda: 300):
            await self.client()
            control = self.node.admission
            await self.wait_until(lambda: len(control.waiting) == control.min_waiting, "its giving way")

    async def test_descriptors_running_out_is_no_crash(self) -> None:
        self.build()
        client = await self.client()
        with patch("twisted.internet.tcp.Client.createInternetSocket", side_effect=OSError(24, "none left")):
            client.write(REQUEST.encode() + b"\r\n")
            self.assertRegex(await client.line(), rb"^BUSY \d+$")
        await self.establish(REQUEST)
        with patch.object(admission, "RESERVED_FOR_NODE", 1024):  # no room for a client and its host
            other = await self.client(REQUEST)
            self.assertRegex(await other.line(), rb"^BUSY \d+$")
