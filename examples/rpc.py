"""An example of the gRPC plug-in on loopback: three servers with a simple service, and a client.

python examples/rpc.py world        three servers, and discovery on port 8501; reads: drain h1, serve h1
python examples/rpc.py client KEY   sends a call per second, and follows a stream that is resumed if migrated
"""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import AsyncIterator
from contextlib import suppress
from pathlib import Path
from typing import Any

import grpc
from grpc.aio import AioRpcError

from puffindeck.rpc.grpc import BalancedChannel, come_back, resuming

STATES = {"h1": "SERVING", "h2": "SERVING", "h3": "SERVING"}


async def start_server(name: str) -> int:
    """Start a server, and return its port.

    Status returns the server's name; Watch streams the name every two seconds until the server drains.
    """

    async def status(request: bytes, context: Any) -> bytes:
        return name.encode()

    async def watch(request: bytes, context: Any) -> AsyncIterator[bytes]:
        await context.send_initial_metadata(())  # tells the client that the stream is served
        while True:
            yield name.encode()
            await asyncio.sleep(2)
            if STATES[name] == "DRAINING":
                await context.abort(grpc.StatusCode.UNAVAILABLE, "draining", (("puffindeck-moved", "1"),))

    server = grpc.aio.server()
    handlers: dict[str, Any] = {
        "Status": grpc.unary_unary_rpc_method_handler(status),
        "Watch": grpc.unary_stream_rpc_method_handler(watch),
    }
    server.add_generic_rpc_handlers((grpc.method_handlers_generic_handler("toy.Feed", handlers),))
    port: int = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    SERVERS.append(server)
    return port


SERVERS: list[Any] = []


async def run_servers() -> None:
    """Run the servers and discovery, and execute the commands on standard input."""
    ports = {name: await start_server(name) for name in STATES}
    watches: list[asyncio.StreamWriter] = []
    version = 1

    def endpoint_list(full: bool, names: Any) -> bytes:
        targets = [
            {"uid": name, "endpoint": f"127.0.0.1:{ports[name]}", "state": STATES[name]} for name in names
        ]
        return json.dumps({"rev": version, "all": full, "targets": targets}).encode() + b"\n"

    def chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    async def discovery(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        watch = b"watch=1" in await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        chunk(writer, endpoint_list(True, STATES))
        if not watch:
            writer.write(b"0\r\n\r\n")
            writer.close()
            return
        watches.append(writer)
        with suppress(asyncio.CancelledError):  # the program ends
            while not writer.is_closing():
                await asyncio.sleep(2)
                chunk(writer, b"\n")

    await asyncio.start_server(discovery, "127.0.0.1", 8501)
    print("three servers and discovery are running", flush=True)
    while line := await asyncio.to_thread(sys.stdin.readline):
        command, _, name = line.strip().partition(" ")
        if command in ("drain", "serve") and name in STATES:
            STATES[name] = "DRAINING" if command == "drain" else "SERVING"
            version += 1
            for writer in watches:
                chunk(writer, endpoint_list(False, [name]))
        else:
            print("drain NAME or serve NAME")


async def run_client(key: str) -> None:
    """Call Status once per second and follow Watch, until the stream ends."""
    async with BalancedChannel.from_config(Path(__file__).with_name("desk.toml")) as channel:
        status, watch = channel.unary_unary("/toy.Feed/Status"), channel.unary_stream("/toy.Feed/Watch")
        metadata = (("puffindeck-key", key),)

        async def print_stream() -> None:
            async for name in resuming(lambda last: watch(b"", metadata=metadata)):
                print(f"the stream: {name.decode()}", flush=True)

        stream = asyncio.ensure_future(print_stream())
        while not stream.done():
            try:
                print(f"a call: {(await status(b'', timeout=1.8, metadata=metadata)).decode()}", flush=True)
                await asyncio.sleep(1)
            except AioRpcError as error:
                retry_after = come_back(error)
                print(f"{error.code().name}: {error.details()}; retry after {retry_after}", flush=True)
                await asyncio.sleep(retry_after.total_seconds() if retry_after else 1)
        await stream


if __name__ == "__main__":
    if sys.argv[1:] == ["world"]:
        asyncio.run(run_servers())
    elif len(sys.argv) == 3 and sys.argv[1] == "client":
        asyncio.run(run_client(sys.argv[2]))
    else:
        sys.exit(__doc__)
