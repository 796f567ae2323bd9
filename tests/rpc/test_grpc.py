"""The channel itself: closing, event loops, processes, TLS."""

from __future__ import annotations

import asyncio
import os
import threading
from datetime import datetime, timedelta

import grpc
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from grpc.aio import AioRpcError
from msgspec.structs import replace

from puffindeck.config.client_config import TlsConfig
from puffindeck.config.endpoint_list import Target
from puffindeck.rpc.grpc import BalancedChannel
from tests.support.rpc_channel_test_case import ChannelTestCase
from tests.support.rpc_environment import FeedServer, Stub, client_config, wait_until


class ChannelStories(ChannelTestCase):
    """A clear error on misuse, and nothing left open."""

    async def test_closing_with_calls_open(self) -> None:
        channel, stub = await self.start_channel("one")
        self.environment.servers["one"].mode = "silent"
        waiting = asyncio.ensure_future(stub.status(b"").code())
        await wait_until(lambda: self.environment.servers["one"].calls, "no attempt")
        self.environment.servers["one"].mode = "serve"
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
        channel, stub = await self.start_channel("one")
        stream = stub.watch(b"")
        await stream.read()
        closing = asyncio.ensure_future(channel.close(5))
        await asyncio.sleep(0)
        self.environment.servers["one"].open_streams.pop().set()
        self.assertEqual([m async for m in stream], [b"last"])
        await asyncio.wait_for(closing, 2)
        self.assertIs(await stream.code(), grpc.StatusCode.OK)

    async def test_another_event_loop_is_told_apart(self) -> None:
        _, stub = await self.start_channel("one")
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
        channel, stub = await self.start_channel("one")
        channel._pid = os.getpid() + 1  # as a child's would be; gRPC's own threads forbid a real one here
        with self.assertRaisesRegex(RuntimeError, "after a fork"):
            stub.status(b"")
        channel._pid = os.getpid()

    async def test_channels_of_one_configuration_share_a_roster(self) -> None:
        channel, _ = await self.start_channel("one")
        other = self.environment.channel()
        lone = self.environment.channel(alone=True)
        await lone.channel_ready()
        self.assertIs(channel._ensure_started()[0], other._ensure_started()[0])
        self.assertIsNot(channel._ensure_started()[0], lone._ensure_started()[0])
        await wait_until(lambda: self.environment.discovery.requests == 4, "not a list and a watch each")
        await channel.close()
        self.assertIn(b"one", await Stub(other).status(b""))

    async def test_calls_over_tls_with_a_certificate_of_the_files(self) -> None:
        key = ec.generate_private_key(ec.SECP256R1())
        name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "server.test")])
        now = datetime.now()
        certificate = (
            x509.CertificateBuilder()
            .subject_name(name)
            .issuer_name(name)
            .public_key(key.public_key())
            .serial_number(1)
            .not_valid_before(now - timedelta(1))
            .not_valid_after(now + timedelta(1))
            .add_extension(x509.SubjectAlternativeName([x509.DNSName("server.test")]), critical=False)
            .sign(key, hashes.SHA256())
        ).public_bytes(serialization.Encoding.PEM)
        private = key.private_bytes(
            serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
        )
        server = await FeedServer("one").start(grpc.ssl_server_credentials([(private, certificate)]))
        self.addAsyncCleanup(server.stop)
        client = client_config(None, server.target())
        client = replace(client, rpc=replace(client.rpc, tls=TlsConfig(certificate, b"", b"", "server.test")))
        channel = self.environment.channel(config=client)
        self.assertEqual(await Stub(channel).status(b"hi", timeout=5), b"one:hi")
        plain = self.environment.channel(config=client_config(None, server.target()))
        with self.assertRaises(AioRpcError):
            await Stub(plain).status(b"hi", timeout=0.6)


def test_a_channel_without_a_loop_says_nothing_until_it_is_used() -> None:
    """from_config may be called before the loop runs; the loop is the one that first uses the channel."""
    client = client_config(None, Target("one", "SERVING", "127.0.0.1:1"))

    async def use() -> grpc.ChannelConnectivity:
        channel = BalancedChannel(client)
        idle = channel.get_state()
        assert idle is grpc.ChannelConnectivity.IDLE
        await channel.channel_ready()
        state = channel.get_state()
        await channel.close()
        return state

    assert asyncio.run(use()) is grpc.ChannelConnectivity.READY
