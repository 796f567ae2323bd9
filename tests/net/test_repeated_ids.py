"""A request that comes again under an id that a host may have run is not run again."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from tempfile import mkdtemp
from unittest.mock import patch

from twisted.logger import Logger

from puffindeck.core.clock import monotonic_ms
from puffindeck.core.sent_request_ids import MAX_IDS, SentRequestIds
from puffindeck.interface import AttemptEnded, Effect, Outcome
from puffindeck.net import shared_id_file
from puffindeck.net.logs import RateLimitedLog
from puffindeck.net.shared_id_file import RECORD, SharedIdFile
from tests.support.node_test_case import SETTINGS, NodeTestCase, Peer

WINDOW_MS = 60000.0
CHAT = SETTINGS.classes[0]
NOT_IDEMPOTENT = replace(CHAT, effect=Effect.NOT_IDEMPOTENT)
KEYED = replace(CHAT, effect=Effect.IDEMPOTENCY_KEY, window_ms=WINDOW_MS)
LINE = "OPEN feed 7f3a9c21e0b4d655 c=chat,d=1100"


class RepeatedIdTests(NodeTestCase):
    """Clients that leave, and come again with the same id."""

    async def send_and_leave(self) -> None:
        """Have a host get a request whose client then leaves without an answer."""
        client = await self.client(LINE)
        _, host = await self.accept_attempt()
        await host.line()
        client.transport.abortConnection()
        await host.ended()
        await self.wait_until(lambda: not self.node.connections.clients, "the client's end")

    def reached_hosts(self) -> int:
        return sum(len(host.peers) for host in self.hosts.values())

    async def assert_refused(self) -> None:
        """Assert that the request fails when it comes again, and reaches no host."""
        before = self.reached_hosts()
        client: Peer = await self.client(LINE)
        self.assertEqual(await client.line(), b"ERR")
        self.assertEqual(self.reached_hosts(), before)

    async def assert_served(self) -> None:
        client = await self.client(LINE)
        _, host = await self.accept_attempt()
        await host.line()
        host.write(b"UP r\r\n")
        self.assertEqual(await client.line(), b"UP r")

    # Guards against a request that runs twice because its client has left and comes again with the same id.
    async def test_request_that_must_not_be_repeated_fails_when_it_comes_again(self) -> None:
        self.build(classes=(NOT_IDEMPOTENT,))
        await self.send_and_leave()
        await self.assert_refused()

    async def test_request_that_a_host_has_turned_away_is_served_when_it_comes_again(self) -> None:
        self.build(hosts=1, classes=(NOT_IDEMPOTENT,), max_attempts=1)
        client = await self.client(LINE)
        _, host = await self.accept_attempt()
        await host.line()
        host.write(b"BUSY\r\n")
        self.assertRegex(await client.line(), rb"^BUSY")
        self.assertFalse(len(self.node.sent_ids))

    async def test_idempotent_request_is_served_when_it_comes_again(self) -> None:
        self.build()
        await self.send_and_leave()
        await self.assert_served()

    # Guards against a request that runs again after hosts have forgotten its idempotency key.
    async def test_request_with_an_idempotency_key_is_served_again_within_its_window_only(self) -> None:
        self.build(classes=(KEYED,))
        await self.send_and_leave()
        later_ms = monotonic_ms() + WINDOW_MS
        with patch("puffindeck.core.sent_request_ids.monotonic_ms", return_value=later_ms):
            await self.assert_refused()
        await self.assert_served()

    async def assert_failed_without_a_send(self) -> None:
        """Assert that a request is answered ERR, that no host gets its line, and that no host is to blame."""
        client = await self.client(LINE)
        _, host = await self.accept_attempt()
        await host.ended()
        self.assertEqual(await client.line(), b"ERR")
        self.assertEqual(host.received, b"")
        self.assertEqual(self.recorded_events(AttemptEnded)[-1].outcome, Outcome.CANCELLED)
        self.assertEqual(len(self.node.engine.requests), 0)

    # Guards against a request that runs twice because the other process sends it while this one connects.
    async def test_request_that_the_other_process_sends_during_the_connect_fails(self) -> None:
        self.build(classes=(NOT_IDEMPOTENT,))
        with self.at_connect(lambda: self.node.sent_ids.record(b"feed", NOT_IDEMPOTENT)):
            await self.assert_failed_without_a_send()

    # Guards against a request that runs again because its key's window ends while it is being sent again.
    async def test_request_whose_window_ends_during_the_connect_fails(self) -> None:
        self.build(classes=(KEYED,))
        await self.send_and_leave()
        later_ms = monotonic_ms() + WINDOW_MS
        later = patch("puffindeck.core.sent_request_ids.monotonic_ms", return_value=later_ms)
        self.addCleanup(later.stop)
        with self.at_connect(later.start):
            await self.assert_failed_without_a_send()


class SharedIdTests(NodeTestCase):
    """Two processes of one node, during an upgrade."""

    def setUp(self) -> None:
        self.build()
        self.path = Path(mkdtemp()) / "state" / "ids"

    def process_ids(self) -> SentRequestIds:
        """Return the ids of one more process of the node."""
        ids = SentRequestIds()
        ids.share(SharedIdFile(self.path, RateLimitedLog(Logger(), self.node.deadlines, "ids")))
        return ids

    # Guards against a request that runs twice because it comes again at the other process of an upgrade.
    def test_other_process_knows_the_ids_whichever_process_is_the_older(self) -> None:
        older, newer = self.process_ids(), self.process_ids()
        for first, second, id in ((older, newer, b"a"), (newer, older, b"b")):
            self.assertFalse(second.must_not_run(id, NOT_IDEMPOTENT))
            first.record(id, NOT_IDEMPOTENT)
            self.assertTrue(second.must_not_run(id, NOT_IDEMPOTENT))
        older.forget(b"b")
        self.assertFalse(newer.must_not_run(b"b", NOT_IDEMPOTENT))
        self.assertTrue(self.process_ids().must_not_run(b"a", NOT_IDEMPOTENT))

    def test_file_is_bounded_and_its_replacement_is_noticed(self) -> None:
        first, second = self.process_ids(), self.process_ids()
        with (
            patch.object(shared_id_file, "MAX_FILE_OCTETS", 100 * RECORD.size),
            patch.object(shared_id_file, "KEPT_OCTETS", 50 * RECORD.size),
        ):
            for i in range(1000):
                first.record(b"%d" % i, NOT_IDEMPOTENT)
                self.assertTrue(second.must_not_run(b"%d" % i, NOT_IDEMPOTENT))
                second.record(b"other %d" % i, NOT_IDEMPOTENT)
                self.assertTrue(first.must_not_run(b"other %d" % i, NOT_IDEMPOTENT))
        self.assertLessEqual(self.path.stat().st_size, 101 * RECORD.size)

    def test_folder_that_fails_leaves_each_process_its_own_ids(self) -> None:
        self.path.parent.write_text("not a folder")
        ids = self.process_ids()
        ids.record(b"a", NOT_IDEMPOTENT)
        self.assertTrue(ids.must_not_run(b"a", NOT_IDEMPOTENT))

    def test_ids_are_bounded(self) -> None:
        ids = SentRequestIds()
        for i in range(MAX_IDS + 10):
            ids.record(b"%d" % i, NOT_IDEMPOTENT)
        self.assertEqual(len(ids), MAX_IDS)
        self.assertFalse(ids.must_not_run(b"0", NOT_IDEMPOTENT))
        self.assertTrue(ids.must_not_run(b"%d" % MAX_IDS, NOT_IDEMPOTENT))
