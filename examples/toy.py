"""An example environment for one node on loopback: three hosts and discovery, or one client.

python examples/toy.py world        hosts on ports 6001 to 6003, discovery on 8500; reads commands:
                                    drain h1, serve h1, gone h1
python examples/toy.py client KEY   sends a request to the node on port 5000, then a line per second
"""

from __future__ import annotations

import json
import sys
from typing import Any

from twisted.internet import endpoints, stdio, task
from twisted.internet import reactor as default_reactor
from twisted.internet.protocol import Factory
from twisted.protocols.basic import LineReceiver

reactor: Any = default_reactor
HOSTS = {"h1": 6001, "h2": 6002, "h3": 6003}


class EndpointList:
    """The list of hosts, and the watches to notify of its changes."""

    def __init__(self) -> None:
        self.version = 1
        self.states = dict.fromkeys(HOSTS, "SERVING")
        self.watches: set[Discovery] = set()

    def text(self, full: bool, *names: str) -> bytes:
        """Return a line of JSON with these hosts, or with all if none is given.

        `full`: the line replaces the whole list.
        """
        targets = [
            {
                "uid": name,
                "endpoint": f"127.0.0.1:{HOSTS[name]}",
                "az": "atlanta",
                "model": "std-box",
                "pod_group": 1,
                "state": self.states[name],
                "capacity_hint": 1.0,
                "boot_ms": 0,
            }
            for name in names or HOSTS
        ]
        return json.dumps({"rev": self.version, "all": full, "targets": targets}).encode() + b"\n"

    def change(self, name: str, state: str) -> None:
        """Set a host's state, and notify the watches."""
        self.states[name] = state
        self.version += 1
        for watch in self.watches:
            watch.chunk(self.text(False, name))


class Discovery(LineReceiver):
    """An HTTP/1.1 connection of the discovery service, which serves the list and watches on it."""

    def __init__(self, endpoint_list: EndpointList) -> None:
        self.endpoint_list = endpoint_list
        self.path = b""

    def lineReceived(self, line: bytes) -> None:
        """Read the request's header, and answer the request at its end."""
        if line:
            self.path = self.path or line.split(b" ")[1]
        elif b"watch=1" in self.path:
            self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.chunk(self.endpoint_list.text(True))
            self.endpoint_list.watches.add(self)
        else:
            body = self.endpoint_list.text(True)
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    def chunk(self, body: bytes) -> None:
        """Write a chunk of a watch's response."""
        self.transport.write(b"%x\r\n%s\r\n" % (len(body), body))

    def connectionLost(self, reason: Any = None) -> None:
        """Remove this watch from the list."""
        self.endpoint_list.watches.discard(self)


class Host(LineReceiver):
    """A host that accepts every connection and echoes its lines."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.first_line = b""

    def lineReceived(self, line: bytes) -> None:
        """Answer UP to the first line, and echo the following lines."""
        if not self.first_line:
            self.first_line = line
            print(f"{self.name}: {line.decode()}", flush=True)
            self.sendLine(b"UP from-" + self.name.encode())
        else:
            self.sendLine(line)


class Commands(LineReceiver):
    """Executes the commands on standard input."""

    delimiter = b"\n"
    states = {"drain": "DRAINING", "serve": "SERVING", "gone": "DELETED"}  # noqa: RUF012

    def __init__(self, endpoint_list: EndpointList) -> None:
        self.endpoint_list = endpoint_list

    def lineReceived(self, line: bytes) -> None:
        """Execute a command, which sets a host's state."""
        verb, _, name = line.decode().strip().partition(" ")
        if verb in self.states and name in HOSTS:
            self.endpoint_list.change(name, self.states[verb])
        elif line.strip():
            print("drain, serve or gone, and h1, h2 or h3", flush=True)


class Client(LineReceiver):
    """A client of the node."""

    def connectionMade(self) -> None:
        """Send the request."""
        self.sendLine(b"OPEN 9b1f03aa5c7e2d41 %s c=item-watch,d=2000" % sys.argv[2].encode())

    def lineReceived(self, line: bytes) -> None:
        """Print the line, and start to send a line per second when the connection is established."""
        print(line.decode(), flush=True)
        if line.startswith(b"UP "):
            task.LoopingCall(self.sendLine, b"still here?").start(1)

    def connectionLost(self, reason: Any = None) -> None:
        """End the program."""
        reactor.stop()


class ProtocolFactory(Factory):
    """Builds protocols of one class with fixed arguments."""

    noisy = False

    def __init__(self, kind: Any, *args: Any) -> None:
        self.kind = kind
        self.args = args

    def buildProtocol(self, addr: object) -> Any:
        """Return a protocol for a new connection."""
        return self.kind(*self.args)


def main() -> None:
    """Run the hosts and discovery, or the client, as the command line says."""
    if sys.argv[1:] == ["world"]:
        endpoint_list = EndpointList()
        reactor.listenTCP(8500, ProtocolFactory(Discovery, endpoint_list), interface="127.0.0.1")
        for name, port in HOSTS.items():
            reactor.listenTCP(port, ProtocolFactory(Host, name), interface="127.0.0.1")
        stdio.StandardIO(Commands(endpoint_list))

        def send_keepalives() -> None:
            for watch in endpoint_list.watches:
                watch.chunk(b"\n")

        task.LoopingCall(send_keepalives).start(2)
    elif len(sys.argv) == 3 and sys.argv[1] == "client":
        node = endpoints.TCP4ClientEndpoint(reactor, "127.0.0.1", 5000)
        node.connect(ProtocolFactory(Client)).addErrback(
            lambda failure: (print(failure.value), reactor.stop())
        )
    else:
        sys.exit(__doc__)
    reactor.run()


if __name__ == "__main__":
    main()
