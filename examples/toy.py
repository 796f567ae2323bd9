"""A toy world for one node, all on loopback: three hosts and discovery, or one client.

python examples/toy.py world        hosts at 6001 to 6003, discovery at 8500; reads commands:
                                    drain h1, serve h1, gone h1
python examples/toy.py client KEY   asks the node at 5000, then says something each second
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


class Roster:
    """The list of hosts, and the watches that are told of its changes."""

    def __init__(self) -> None:
        self.version = 1
        self.states = dict.fromkeys(HOSTS, "SERVING")
        self.watches: set[Discovery] = set()

    def text(self, full: bool, *names: str) -> bytes:
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
        self.states[name] = state
        self.version += 1
        for watch in self.watches:
            watch.chunk(self.text(False, name))


class Discovery(LineReceiver):
    """HTTP, as much of it as a watch takes."""

    def __init__(self, roster: Roster) -> None:
        self.roster = roster
        self.path = b""

    def lineReceived(self, line: bytes) -> None:
        if line:
            self.path = self.path or line.split(b" ")[1]
        elif b"watch=1" in self.path:
            self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.chunk(self.roster.text(True))
            self.roster.watches.add(self)
        else:
            body = self.roster.text(True)
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    def chunk(self, body: bytes) -> None:
        self.transport.write(b"%x\r\n%s\r\n" % (len(body), body))

    def connectionLost(self, reason: Any = None) -> None:
        self.roster.watches.discard(self)


class Host(LineReceiver):
    """Takes every connection and echoes its lines."""

    def __init__(self, name: str) -> None:
        self.name, self.head = name, b""

    def lineReceived(self, line: bytes) -> None:
        if not self.head:
            self.head = line
            print(f"{self.name}: {line.decode()}", flush=True)
            self.sendLine(b"UP from-" + self.name.encode())
        else:
            self.sendLine(line)


class Commands(LineReceiver):
    """What is typed."""

    delimiter = b"\n"
    states = {"drain": "DRAINING", "serve": "SERVING", "gone": "DELETED"}  # noqa: RUF012

    def __init__(self, roster: Roster) -> None:
        self.roster = roster

    def lineReceived(self, line: bytes) -> None:
        verb, _, name = line.decode().strip().partition(" ")
        if verb in self.states and name in HOSTS:
            self.roster.change(name, self.states[verb])
        elif line.strip():
            print("drain, serve or gone, and h1, h2 or h3", flush=True)


class Caller(LineReceiver):
    """A client."""

    def connectionMade(self) -> None:
        self.sendLine(b"OPEN 9b1f03aa5c7e2d41 %s c=item-watch,d=2000" % sys.argv[2].encode())

    def lineReceived(self, line: bytes) -> None:
        print(line.decode(), flush=True)
        if line.startswith(b"UP "):
            task.LoopingCall(self.sendLine, b"still here?").start(1)

    def connectionLost(self, reason: Any = None) -> None:
        reactor.stop()


class Built(Factory):
    """A protocol with what it needs."""

    noisy = False

    def __init__(self, kind: Any, *args: Any) -> None:
        self.kind, self.args = kind, args

    def buildProtocol(self, addr: object) -> Any:
        return self.kind(*self.args)


def main() -> None:
    if sys.argv[1:] == ["world"]:
        roster = Roster()
        reactor.listenTCP(8500, Built(Discovery, roster), interface="127.0.0.1")
        for name, port in HOSTS.items():
            reactor.listenTCP(port, Built(Host, name), interface="127.0.0.1")
        stdio.StandardIO(Commands(roster))

        def alive() -> None:
            for watch in roster.watches:
                watch.chunk(b"\n")

        task.LoopingCall(alive).start(2)
    elif len(sys.argv) == 3 and sys.argv[1] == "client":
        at = endpoints.TCP4ClientEndpoint(reactor, "127.0.0.1", 5000)
        at.connect(Built(Caller)).addErrback(lambda failure: (print(failure.value), reactor.stop()))
    else:
        sys.exit(__doc__)
    reactor.run()


if __name__ == "__main__":
    main()
