"""Tests of the buffer from which the attempts of a call send its request stream."""

from __future__ import annotations

from typing import Any
from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch

import grpc

from puffindeck.rpc.balanced_call import BalancedCall
from puffindeck.rpc.replay_buffer import END_OF_REQUESTS, ReplayBuffer
from tests.support.rpc_channel_test_case import ChannelTestCase

MESSAGES = (b"a", b"b")


class ReplayBufferTests(IsolatedAsyncioTestCase):
    """Two attempts, one after the other, that send the same messages."""

    async def asyncSetUp(self) -> None:
        self.buffer = ReplayBuffer(1)
        self.first = self.buffer.restart()
        for message in MESSAGES:
            self.buffer.add(message)
            self.assertEqual(await self.buffer.next(self.first), message)
            self.buffer.mark_sent(self.first)

    async def received_by(self, reader: int) -> list[bytes]:
        """Return the messages that a reader gets, up to the end of the stream."""
        self.buffer.close()
        received = []
        while (message := await self.buffer.next(reader)) is not END_OF_REQUESTS:
            received.append(message)
            self.buffer.mark_sent(reader)
        return received

    # Guards against a stream that is sent without its first messages, because an earlier attempt sent them.
    async def test_commit_to_a_new_attempt_keeps_what_only_an_earlier_one_has_sent(self) -> None:
        second = self.buffer.restart()
        self.assertFalse(self.buffer.all_sent())
        self.buffer.commit()
        self.assertEqual(await self.received_by(second), list(MESSAGES))

    # Guards against a message that is left out because an earlier attempt's write ended late.
    async def test_late_write_of_an_earlier_attempt_does_not_count_for_the_new_one(self) -> None:
        second = self.buffer.restart()
        self.buffer.mark_sent(self.first)
        self.assertIs(await self.buffer.next(self.first), END_OF_REQUESTS)
        self.assertEqual(await self.received_by(second), list(MESSAGES))


class NewAttemptTests(ChannelTestCase):
    """A call's attempts, as they begin."""

    # Guards against a commit to an attempt that counts as having sent what an earlier one has.
    async def test_an_attempt_begins_with_the_first_message_as_soon_as_it_is_created(self) -> None:
        _, stub = await self.start_channel("one", "two")
        for server in self.environment.servers.values():
            server.mode = "full"
            server.read_before_response = 1
        nothing_left_to_send: list[bool] = []
        start_attempt = BalancedCall.start_attempt

        def start_and_record(call: BalancedCall, *arguments: Any) -> Any:
            attempt = start_attempt(call, *arguments)
            assert call.replay_buffer is not None
            nothing_left_to_send.append(call.replay_buffer.all_sent())
            return attempt

        with patch.object(BalancedCall, "start_attempt", start_and_record):
            call = stub.talk()
            await call.write(b"a")
            with self.assertRaises(grpc.aio.AioRpcError):
                await call.read()
        self.assertGreater(len(nothing_left_to_send), 1)
        self.assertNotIn(True, nothing_left_to_send[1:])
