"""Tests of the channel: closing, event loops, processes, shared state and TLS."""

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


class BalancedChannelTests(ChannelTestCase):
    """Errors for misuse, and release of calls and connections."""

    async def test_close_cancels_open_calls(self) -> None:
        channel, stub = await self.start_channel("one")
        self.environment.servers["one"].mode = "silent"
        waiting = asyncio.ensure_future(stub.status(b"").code())
        await wait_until(lambda: self.environment.servers["one"].calls, "no attempt was made")
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

    async def test_close_with_grace_waits_for_open_calls(self) -> None:
        channel, stub = await self.start_channel("one")
        stream = stub.watch(b"")
        await stream.read()
        closing = asyncio.ensure_future(channel.close(5))
        await asyncio.sleep(0)
        self.environment.servers["one"].open_streams.pop().set()
        self.assertEqual([m async for m in stream], [b"last"])
        await asyncio.wait_for(closing, 2)
        self.assertIs(await stream.code(), grpc.StatusCode.OK)

    async def test_use_in_another_event_loop_raises(self) -> None:
        _, stub = await self.start_channel("one")
        errors: list[BaseException] = []

        async def call() -> None:
            await stub.status(b"")

        def call_in_another_loop() -> None:
            try:
                asyncio.run(call())
            except RuntimeError as error:
                errors.append(error)

        thread = threading.Thread(target=call_in_another_loop)
        thread.start()
        await asyncio.to_thread(thread.join)
        self.assertIn("another event loop", str(errors[0]))
        self.assertIn(b"one", await stub.status(b""))

    async def test_use_after_fork_raises(self) -> None:
        channel, stub = await self.start_channel("one")
        channel._pid = os.getpid() + 1  # simulates a child process: gRPC's threads rule out a real fork
        with self.assertRaisesRegex(RuntimeError, "after a fork"):
            stub.status(b"")
        channel._pid = os.getpid()

    async def test_channels_of_same_configuration_share_endpoint_list(self) -> None:
        channel, _ = await self.start_channel("one")
        other = self.environment.channel()
        unshared = self.environment.channel(alone=True)
        await unshared.channel_ready()
        self.assertIs(channel._ensure_started()[0], other._ensure_started()[0])
        self.assertIsNot(channel._ensure_started()[0], unshared._ensure_started()[0])
        await wait_until(
            lambda: self.environment.discovery.requests == 4,
            "expected a list request and a watch for each of two shared states",
        )
        await channel.close()
        self.assertIn(b"one", await Stub(other).status(b""))

    async def test_calls_over_tls_with_configured_certificate(self) -> None:
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


def test_channel_created_outside_event_loop_is_idle_until_first_use() -> None:
    """A channel can be created before the event loop runs; it belongs to the loop that uses it first."""
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
