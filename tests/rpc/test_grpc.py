"""The gRPC channel over loopback: calls of all kinds, retries, deadlines, moves, refusals, misuse."""

from __future__ import annotations

import asyncio
import os
import threading
from datetime import datetime, timedelta
from random import Random
from typing import Any
from unittest import IsolatedAsyncioTestCase

import grpc
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from grpc.aio import EOF, AioRpcError, Metadata

from puffindeck.rpc.grpc import BalancedChannel, come_back, moved, resuming
from tests.support.rpc_world import Stub, World, keyed, told, until


class Story(IsolatedAsyncioTestCase):
    """A world of boxes and a channel over them."""

    async def asyncSetUp(self) -> None:
        self.world = World()
        self.addAsyncCleanup(self.world.end)

    async def begin(self, *names: str, **keywords: Any) -> tuple[BalancedChannel, Stub]:
        await self.world.serve(*(names or ("one", "two", "three")))
        channel = self.world.channel(**keywords)
        await asyncio.wait_for(channel.channel_ready(), 5)
        return channel, Stub(channel)

    async def nothing_left(self, channel: BalancedChannel) -> None:
        """The core holds nothing, and no connection has a user."""
        shared, pool = channel._started()
        await until(lambda: not len(shared.engine.requests), "the core still holds a call")
        await until(lambda: not any(sub.users for sub in pool._open.values()), "a connection is still used")
        self.assertFalse(channel._calls)

    def error(self, caught: Any) -> AioRpcError:
        assert isinstance(caught.exception, AioRpcError)
        return caught.exception


class Calls(Story):
    """The four kinds, as grpc.aio has them."""

    async def test_one_answer_with_its_metadata(self) -> None:
        channel, stub = await self.begin()
        call = stub.status(b"hi", timeout=2, metadata=keyed("desk 7"))
        answer = await call
        name = answer.split(b":")[0].decode()
        self.assertEqual(answer, name.encode() + b":hi")
        self.assertEqual((await call.trailing_metadata()).get("served-by"), name)
        self.assertEqual((await call.initial_metadata()), Metadata())
        self.assertIs(await call.code(), grpc.StatusCode.OK)
        self.assertEqual((await call.details(), await call.debug_error_string()), ("", ""))
        self.assertTrue(call.done())
        self.assertFalse(call.cancel())
        self.assertLess(call.time_remaining(), 2)
        self.assertEqual(await call, answer)  # awaited twice
        self.assertEqual(self.world.boxes[name].metadata[0]["puffindeck-key"], "desk 7")
        await self.nothing_left(channel)

    async def test_calls_of_a_key_go_to_one_box_and_those_without_one_spread(self) -> None:
        _, stub = await self.begin()
        self.assertEqual(len({await stub.status(b"", metadata=keyed("desk 7")) for _ in range(12)}), 1)
        self.assertEqual(len({await stub.status(b"") for _ in range(30)}), 3)

    async def test_a_stream_of_answers_read_and_iterated(self) -> None:
        channel, stub = await self.begin()
        call = stub.watch(b"", metadata=keyed("desk 7"))
        await call.wait_for_connection()
        name = (await call.initial_metadata()).get("served-by")
        self.assertEqual(await call.read(), name.encode())
        self.world.boxes[name].open.pop().set()
        self.assertEqual([message async for message in call], [b"last"])
        self.assertIs(await call.read(), EOF)
        self.assertIs(await call.code(), grpc.StatusCode.OK)
        await self.nothing_left(channel)

    async def test_a_stream_of_requests_by_iterators_and_by_writing(self) -> None:
        channel, stub = await self.begin("one")

        async def later() -> Any:
            for message in (b"a", b"b"):
                await asyncio.sleep(0)
                yield message

        self.assertEqual(await stub.upload(later()), b"one:a,b")
        self.assertEqual(await stub.upload(iter([b"c"])), b"one:c")
        call = stub.upload()
        await call.write(b"x")
        await call.write(b"y")
        await call.done_writing()
        self.assertEqual(await call, b"one:x,y")
        with self.assertRaises(asyncio.InvalidStateError):
            await call.write(b"z")
        await self.nothing_left(channel)

    async def test_streams_both_ways(self) -> None:
        channel, stub = await self.begin("one")
        call = stub.talk()
        for message in (b"a", b"b"):
            await call.write(message)
            self.assertEqual(await call.read(), b"one:" + message)
        await call.done_writing()
        self.assertIs(await call.read(), EOF)
        self.assertEqual([m async for m in stub.talk(iter([b"c", b"d"]))], [b"one:c", b"one:d"])
        given = stub.talk(iter([b"c"]))
        with self.assertRaises(grpc.aio.UsageError):
            await given.write(b"d")
        given.cancel()
        await self.nothing_left(channel)

    async def test_more_than_is_kept_for_another_try_is_sent_all_the_same(self) -> None:
        channel, stub = await self.begin("one", rpc={"replay": 4})
        messages = [b"%d" % i for i in range(50)]
        self.assertEqual(await stub.upload(iter(messages)), b"one:" + b",".join(messages))
        self.assertEqual([m async for m in stub.talk(iter(messages))], [b"one:" + m for m in messages])
        await self.nothing_left(channel)

    async def test_an_iterator_that_raises_ends_the_call_with_its_error(self) -> None:
        channel, stub = await self.begin("one")

        def broken() -> Any:
            yield b"a"
            raise ZeroDivisionError

        with self.assertRaises(ZeroDivisionError):
            await asyncio.wait_for(stub.upload(broken()), 5)
        await self.nothing_left(channel)

    async def test_done_callbacks_are_called_once(self) -> None:
        _, stub = await self.begin("one")
        told_of: list[Any] = []
        call = stub.status(b"")
        call.add_done_callback(told_of.append)
        await call
        await until(lambda: told_of, "no callback")
        call.add_done_callback(told_of.append)
        self.assertEqual(told_of, [call, call])


class Retries(Story):
    """Attempts are the module's: one at a time, three at most, one final answer."""

    async def test_a_full_box_costs_a_try_and_the_next_one_serves(self) -> None:
        channel, stub = await self.begin()
        key = self.world.key_of(channel, "one")
        self.world.boxes["one"].mode = "full"
        self.assertNotIn(b"one", await stub.status(b"", metadata=keyed(key)))
        self.assertEqual(self.world.count()["one"], 1)
        self.assertEqual(sum(self.world.count().values()), 2)

    async def test_three_boxes_that_have_run_it_and_say_no_are_the_end(self) -> None:
        channel, stub = await self.begin("one", "two", "three", "four")
        for box in self.world.boxes.values():
            box.mode = "UNAVAILABLE"
        with self.assertRaises(AioRpcError) as caught:
            await stub.status(b"", timeout=2)
        error = self.error(caught)
        self.assertIs(error.code(), grpc.StatusCode.UNAVAILABLE)
        self.assertIn("says UNAVAILABLE", error.details() or "")
        self.assertEqual(error.trailing_metadata().get("puffindeck-attempts"), "3")
        wait = come_back(error)
        assert wait is not None
        self.assertTrue(timedelta() < wait <= timedelta(milliseconds=1500))
        self.assertEqual(sorted(self.world.count().values()), [0, 1, 1, 1])
        await self.nothing_left(channel)

    async def test_what_must_not_run_twice_is_not_sent_again_once_it_may_have_run(self) -> None:
        channel, stub = await self.begin()
        for box in self.world.boxes.values():
            box.mode = "UNAVAILABLE"
        with self.assertRaises(AioRpcError) as caught:
            await stub.claim(b"", timeout=2)
        self.assertEqual(sum(self.world.count().values()), 1)
        self.assertIn("says UNAVAILABLE", self.error(caught).details() or "")
        self.assertIsNone(come_back(self.error(caught)))  # no promise that asking again does no harm
        for box in self.world.boxes.values():
            box.mode, box.calls = "full", []
        with self.assertRaises(AioRpcError):
            await stub.claim(b"", timeout=2)  # a full box never ran it
        self.assertGreater(sum(self.world.count().values()), 1)
        await self.nothing_left(channel)

    async def test_the_applications_own_statuses_are_final(self) -> None:
        _, stub = await self.begin()
        for mode in ("INVALID_ARGUMENT", "NOT_FOUND", "INTERNAL", "UNAUTHENTICATED"):
            for box in self.world.boxes.values():
                box.mode, box.calls = mode, []
            with self.assertRaises(AioRpcError) as caught:
                await stub.status(b"")
            self.assertEqual(self.error(caught).code().name, mode)
            self.assertEqual(sum(self.world.count().values()), 1)

    async def test_a_server_that_says_never_again_is_not_gainsaid(self) -> None:
        channel, stub = await self.begin()
        for box in self.world.boxes.values():
            box.mode = "never"
        with self.assertRaises(AioRpcError) as caught:
            await stub.status(b"")
        self.assertEqual(come_back(self.error(caught)), timedelta.max)
        self.assertEqual(sum(self.world.count().values()), 1)
        await self.nothing_left(channel)

    async def test_a_box_that_accepts_and_never_answers_costs_one_try(self) -> None:
        channel, stub = await self.begin("one", "two")
        key = self.world.key_of(channel, "one")
        mute = self.world.boxes["one"]
        mute.mode = "mute"
        self.assertIn(b"two", await stub.status(b"", timeout=2, metadata=keyed(key)))
        await until(lambda: mute.given_up == 1, "the attempt was left out")
        await self.nothing_left(channel)

    async def test_the_deadline_holds_with_mute_boxes_only(self) -> None:
        channel, stub = await self.begin("one", "two")
        for box in self.world.boxes.values():
            box.mode = "mute"
        loop = asyncio.get_running_loop()
        begun = loop.time()
        with self.assertRaises(AioRpcError) as caught:
            await stub.status(b"", timeout=0.5)
        self.assertIs(self.error(caught).code(), grpc.StatusCode.DEADLINE_EXCEEDED)
        self.assertLess(loop.time() - begun, 1.0)
        with self.assertRaises(AioRpcError) as caught:
            await stub.status(b"", timeout=0)
        self.assertIs(self.error(caught).code(), grpc.StatusCode.DEADLINE_EXCEEDED)
        await until(
            lambda: all(len(box.calls) == box.given_up for box in self.world.boxes.values()),
            "an attempt was left out",
        )
        await self.nothing_left(channel)

    async def test_boxes_that_are_gone_cost_connects_only(self) -> None:
        channel, stub = await self.begin("one", "two")
        key = self.world.key_of(channel, "one")
        await self.world.boxes["one"].stop()
        for _ in range(3):
            self.assertIn(b"two", await stub.claim(b"", metadata=keyed(key)))
        await self.world.boxes["two"].stop()
        with self.assertRaises(AioRpcError) as caught:
            await stub.claim(b"", timeout=1)
        self.assertIsNotNone(come_back(self.error(caught)))
        await self.nothing_left(channel)

    async def test_many_calls_at_once_find_a_box_that_is_back(self) -> None:
        """No one of them may open its connection anew, as the others use it, too."""
        channel, stub = await self.begin("one")
        box = self.world.boxes["one"]
        await stub.status(b"")
        await box.stop()
        codes = await asyncio.gather(*(stub.status(b"", timeout=1).code() for _ in range(5)))
        self.assertNotIn(grpc.StatusCode.OK, codes)
        await box.start()

        async def served() -> bool:
            codes = await asyncio.gather(*(stub.status(b"", timeout=1).code() for _ in range(5)))
            return codes == [grpc.StatusCode.OK] * 5

        async with asyncio.timeout(8):
            while not await served():
                await asyncio.sleep(0.1)
        await self.nothing_left(channel)

    async def test_a_cancelled_call_leaves_no_attempt_out(self) -> None:
        channel, stub = await self.begin("one", "two")
        for box in self.world.boxes.values():
            box.mode = "mute"
        call = stub.status(b"")
        await until(lambda: sum(self.world.count().values()) == 1, "no attempt")
        self.assertTrue(call.cancel())
        with self.assertRaises(asyncio.CancelledError):
            await call
        self.assertTrue(call.cancelled())
        self.assertIs(await call.code(), grpc.StatusCode.CANCELLED)
        waiting = asyncio.ensure_future(stub.status(b""))
        await until(lambda: sum(self.world.count().values()) == 2, "no attempt")
        waiting.cancel()  # whoever awaits it goes, and so does the call
        with self.assertRaises(asyncio.CancelledError):
            await waiting
        await until(lambda: sum(box.given_up for box in self.world.boxes.values()) == 2, "one was left")
        self.assertEqual(sum(self.world.count().values()), 2)
        await self.nothing_left(channel)


class Streams(Story):
    """Standing streams: moved, cut off, gone on with."""

    async def test_a_detached_server_sends_its_streams_away_and_they_go_on_elsewhere(self) -> None:
        channel, stub = await self.begin("one", "two")
        key = self.world.key_of(channel, "one")
        begun: list[Any] = []

        def begin(last: Any) -> Any:
            begun.append(last)
            return stub.watch(b"", metadata=keyed(key))

        messages = resuming(begin, random=Random(1))
        self.assertEqual(await anext(messages), b"one")
        shared, _ = channel._started()
        shared.engine.detach(shared.directory.number("one"))
        self.assertEqual(await anext(messages), b"two")
        self.assertEqual(begun, [None, b"one"])
        await until(lambda: not self.world.boxes["one"].open, "the stream at the old box was left")
        await messages.aclose()
        await self.nothing_left(channel)

    async def test_a_moved_stream_says_so(self) -> None:
        channel, stub = await self.begin("one")
        call = stub.watch(b"")
        await call.read()
        shared, _ = channel._started()
        shared.engine.detach(shared.directory.number("one"))
        with self.assertRaises(AioRpcError) as caught:
            await call.read()
        self.assertIs(self.error(caught).code(), grpc.StatusCode.UNAVAILABLE)
        self.assertTrue(moved(self.error(caught)))
        await self.nothing_left(channel)

    async def test_a_box_that_sends_a_call_away_costs_a_try(self) -> None:
        channel, stub = await self.begin("one", "two")
        key = self.world.key_of(channel, "one")
        self.world.boxes["one"].mode = "moving"
        call = stub.watch(b"", metadata=keyed(key))
        self.assertEqual(await call.read(), b"two")
        call.cancel()
        await self.nothing_left(channel)

    async def test_a_box_that_dies_mid_stream_ends_it_once_and_it_is_resumed(self) -> None:
        channel, stub = await self.begin("one", "two")
        key = self.world.key_of(channel, "one")
        call = stub.watch(b"", metadata=keyed(key))
        self.assertEqual(await call.read(), b"one")
        messages = resuming(lambda last: stub.watch(b"", metadata=keyed(key)), random=Random(1))
        self.assertEqual(await anext(messages), b"one")
        await self.world.boxes["one"].stop()
        with self.assertRaises(AioRpcError) as caught:
            await call.read()
        self.assertIs(self.error(caught).code(), grpc.StatusCode.UNAVAILABLE)
        self.assertFalse(moved(self.error(caught)))
        self.assertEqual(await anext(messages), b"two")
        await messages.aclose()
        await self.nothing_left(channel)

    async def test_a_stream_that_is_refused_goes_on_when_the_refusal_says(self) -> None:
        channel, stub = await self.begin("one")
        box = self.world.boxes["one"]
        box.mode = "full"
        messages = resuming(lambda last: stub.watch(b""), random=Random(1))
        waiting = asyncio.ensure_future(anext(messages))
        await until(lambda: box.calls, "no attempt")
        box.mode = "serve"
        self.assertEqual(await asyncio.wait_for(waiting, 10), b"one")
        await messages.aclose()
        await self.nothing_left(channel)

    async def test_resuming_gives_up_after_its_tries_and_on_other_statuses(self) -> None:
        _, stub = await self.begin("one")
        self.world.boxes["one"].mode = "PERMISSION_DENIED"
        with self.assertRaises(AioRpcError) as caught:
            await anext(resuming(lambda last: stub.watch(b"")))
        self.assertIs(self.error(caught).code(), grpc.StatusCode.PERMISSION_DENIED)
        self.world.boxes["one"].mode = "moving"
        with self.assertRaises(AioRpcError):
            await anext(resuming(lambda last: stub.watch(b"", timeout=1), tries=1, random=Random(1)))

    async def test_a_reader_that_is_cancelled_cancels_the_stream(self) -> None:
        channel, stub = await self.begin("one")
        call = stub.watch(b"")
        await call.read()
        reading = asyncio.ensure_future(call.read())
        await asyncio.sleep(0)
        reading.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await reading
        self.assertTrue(call.cancelled())
        await self.nothing_left(channel)
        self.assertEqual(channel._started()[0].member.admission._lost, 0)  # not taken for a lost connection

    async def test_reading_with_a_time_limit_of_ones_own(self) -> None:
        channel, stub = await self.begin("one")
        call = stub.watch(b"")
        await call.read()
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.01):
                await call.read()
        self.assertTrue(call.cancelled())
        await self.nothing_left(channel)
        self.assertEqual(channel._started()[0].member.admission._lost, 0)


class Interceptors(Story):
    """They see one call, whatever attempts it takes."""

    async def test_they_change_a_call_and_its_answer_and_see_it_once(self) -> None:
        seen: list[Any] = []

        class Marking(grpc.aio.UnaryUnaryClientInterceptor):
            async def intercept_unary_unary(self, continuation: Any, details: Any, request: Any) -> Any:
                metadata = details.metadata or Metadata()
                metadata.add("marked", "yes")
                seen.append(request)
                call = await continuation(details._replace(metadata=metadata), request + b"!")
                return (await call).upper()

        class Counting(grpc.aio.UnaryUnaryClientInterceptor):
            async def intercept_unary_unary(self, continuation: Any, details: Any, request: Any) -> Any:
                seen.append(request)
                return await continuation(details, request)

        channel, stub = await self.begin("one", "two", interceptors=[Marking(), Counting()])
        key = self.world.key_of(channel, "one")
        self.world.boxes["one"].mode = "full"
        call = stub.status(b"hi", metadata=keyed(key))
        self.assertEqual(await call, b"TWO:HI!")
        self.assertEqual(seen, [b"hi", b"hi!"])
        self.assertEqual(self.world.boxes["two"].metadata[0]["marked"], "yes")
        self.assertIs(await call.code(), grpc.StatusCode.OK)
        self.assertEqual((await call.trailing_metadata()).get("served-by"), "two")
        await self.nothing_left(channel)

    async def test_streams_go_through_them(self) -> None:
        class Doubling(grpc.aio.StreamStreamClientInterceptor):
            async def intercept_stream_stream(self, continuation: Any, details: Any, requests: Any) -> Any:
                async def twice() -> Any:
                    async for message in requests:
                        yield message + message

                call = await continuation(details, twice())

                async def answers() -> Any:
                    async for answer in call:
                        yield answer.upper()

                return answers()

        class Seeing(grpc.aio.UnaryStreamClientInterceptor, grpc.aio.StreamUnaryClientInterceptor):
            async def intercept_unary_stream(self, continuation: Any, details: Any, request: Any) -> Any:
                return await continuation(details, request)

            async def intercept_stream_unary(self, continuation: Any, details: Any, requests: Any) -> Any:
                return await continuation(details, requests)

        channel, stub = await self.begin("one", interceptors=[Doubling(), Seeing()])
        call = stub.talk()
        await call.write(b"a")
        self.assertEqual(await call.read(), b"ONE:AA")
        await call.done_writing()
        self.assertIs(await call.read(), EOF)
        upload = stub.upload()
        await upload.write(b"x")
        await upload.done_writing()
        self.assertEqual(await upload, b"one:x")
        watch = stub.watch(b"")
        self.assertEqual(await watch.read(), b"one")
        self.assertTrue(watch.cancel())
        with self.assertRaises(asyncio.CancelledError):
            await watch.read()
        await self.nothing_left(channel)

    async def test_an_error_reaches_the_caller_and_what_is_no_interceptor_is_refused(self) -> None:
        class Failing(grpc.aio.UnaryUnaryClientInterceptor):
            async def intercept_unary_unary(self, continuation: Any, details: Any, request: Any) -> Any:
                raise ZeroDivisionError

        _, stub = await self.begin("one", interceptors=[Failing()])
        with self.assertRaises(ZeroDivisionError):
            await stub.status(b"")
        with self.assertRaises(ValueError):
            BalancedChannel(told(1), interceptors=[object()])


class Misuse(Story):
    """A clear error, and nothing left hanging."""

    async def test_closing_with_calls_open(self) -> None:
        channel, stub = await self.begin("one")
        self.world.boxes["one"].mode = "mute"
        waiting = asyncio.ensure_future(stub.status(b"").code())
        await until(lambda: self.world.boxes["one"].calls, "no attempt")
        self.world.boxes["one"].mode = "serve"
        stream = stub.watch(b"")
        await stream.read()
        await channel.close()
        self.assertIs(await waiting, grpc.StatusCode.CANCELLED)
        self.assertEqual(await stream.details(), "Channel closed.")
        with self.assertRaises(grpc.aio.UsageError):
            stub.status(b"")
        self.assertIs(channel.get_state(), grpc.ChannelConnectivity.SHUTDOWN)
        await channel.close()

    async def test_closing_with_grace_lets_calls_end(self) -> None:
        channel, stub = await self.begin("one")
        stream = stub.watch(b"")
        await stream.read()
        closing = asyncio.ensure_future(channel.close(5))
        await asyncio.sleep(0)
        self.world.boxes["one"].open.pop().set()
        self.assertEqual([m async for m in stream], [b"last"])
        await asyncio.wait_for(closing, 2)
        self.assertIs(await stream.code(), grpc.StatusCode.OK)

    async def test_another_event_loop_is_told_apart(self) -> None:
        _, stub = await self.begin("one")
        found: list[BaseException] = []

        async def call() -> None:
            await stub.status(b"")

        def elsewhere() -> None:
            try:
                asyncio.run(call())
            except RuntimeError as error:
                found.append(error)

        thread = threading.Thread(target=elsewhere)
        thread.start()
        await asyncio.to_thread(thread.join)
        self.assertIn("another event loop", str(found[0]))
        self.assertIn(b"one", await stub.status(b""))

    async def test_a_fork_is_told_apart(self) -> None:
        channel, stub = await self.begin("one")
        channel._pid = os.getpid() + 1  # as a child's would be; gRPC's own threads forbid a real one here
        with self.assertRaisesRegex(RuntimeError, "after a fork"):
            stub.status(b"")
        channel._pid = os.getpid()

    async def test_channels_of_one_configuration_share_a_roster(self) -> None:
        channel, _ = await self.begin("one")
        other = self.world.channel()
        lone = self.world.channel(alone=True)
        await lone.channel_ready()
        self.assertIs(channel._started()[0], other._started()[0])
        self.assertIsNot(channel._started()[0], lone._started()[0])
        await until(lambda: self.world.discovery.asked == 4, "not a list and a watch each")
        await channel.close()
        self.assertIn(b"one", await Stub(other).status(b""))

    async def test_connections_are_bounded_and_closed_when_idle(self) -> None:
        channel, stub = await self.begin("one", "two", "three", "four", rpc={"subchannels": 2, "idle_s": 0.3})
        for name in self.world.boxes:
            await stub.status(b"", metadata=keyed(self.world.key_of(channel, name)))
            self.assertLessEqual(len(channel._started()[1]), 2)
        await until(lambda: not len(channel._started()[1]), "idle connections stay")
        self.assertTrue(await stub.status(b""))


class Secured(Story):
    """TLS: credentials are passed on, and the file's are used."""

    async def test_calls_over_tls_with_a_certificate_of_the_files(self) -> None:
        key = ec.generate_private_key(ec.SECP256R1())
        name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "box.test")])
        now = datetime.now()
        certificate = (
            x509.CertificateBuilder()
            .subject_name(name)
            .issuer_name(name)
            .public_key(key.public_key())
            .serial_number(1)
            .not_valid_before(now - timedelta(1))
            .not_valid_after(now + timedelta(1))
            .add_extension(x509.SubjectAlternativeName([x509.DNSName("box.test")]), critical=False)
            .sign(key, hashes.SHA256())
        ).public_bytes(serialization.Encoding.PEM)
        private = key.private_bytes(
            serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
        )
        from puffindeck.config.client import Tls
        from tests.support.rpc_world import Box

        box = await Box("one").start(grpc.ssl_server_credentials([(private, certificate)]))
        self.addAsyncCleanup(box.stop)
        client = told(None, box.target())
        from msgspec.structs import replace

        client = replace(client, rpc=replace(client.rpc, tls=Tls(certificate, b"", b"", "box.test")))
        channel = self.world.channel(told=client)
        self.assertEqual(await Stub(channel).status(b"hi", timeout=5), b"one:hi")
        plain = self.world.channel(told=told(None, box.target()))
        with self.assertRaises(AioRpcError):
            await Stub(plain).status(b"hi", timeout=0.6)
