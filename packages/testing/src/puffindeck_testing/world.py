"""A test environment on loopback: real gateway processes, relays between them, and test hosts and clients.

Tests judge a run only by what the hosts and clients observed.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
import urllib.request
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import tomli_w

from puffindeck_testing.clients import ClientResult, run_client
from puffindeck_testing.event_loop import EventLoopThread
from puffindeck_testing.gateway_config import Gateway, GatewayPorts, gateway_config, new_ports
from puffindeck_testing.hosts import Host, HostConnection
from puffindeck_testing.node_exit import raise_if_exited
from puffindeck_testing.ports import own_address
from puffindeck_testing.relay import Relay

POLL_S = 0.02
TIMEOUT_S = 20.0
OPERATOR_CALL_TIMEOUT_S = 1.0


class World:
    """An environment of gateways e1, e2, ... in regions, and hosts in zones."""

    def __init__(
        self, folder: Path, regions: dict[str, str], zones: dict[str, int], seed: int = 1, **tables: Any
    ) -> None:
        """Start the hosts and relays, but no gateway.

        `regions` maps each gateway's name to its region, and `zones` each zone to its number of hosts. `tables` adds
        tables to the gateways' files or replaces the default ones.
        """
        self.folder = folder
        self.regions = regions
        self.seed = seed
        self.tables = tables
        self.address = own_address()
        self.connections: list[HostConnection] = []  # connections of all hosts
        self.last_states: dict[str, dict[str, str]] = {}  # states by gateway and member, at the last all_alive call
        self.results: list[ClientResult] = []
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.ports: dict[str, GatewayPorts] = {name: new_ports() for name in regions}
        self._loop = EventLoopThread()
        self.hosts = [
            Host(f"{zone}-{i}", zone, self.address, self.connections)
            for zone, count in zones.items()
            for i in range(count)
        ]
        for host in self.hosts:
            self._loop.run(host.start())
        self.relays: dict[tuple[str, str], Relay] = {}  # relays by sender and receiver
        self._relay_addresses: dict[tuple[str, str], str] = {}
        self._open_relays()

    def _open_relays(self) -> None:
        for sender in self.regions:
            for receiver in self.regions:
                if sender != receiver:
                    destination = (self.address, self.ports[receiver].fleet)
                    relay = Relay(destination, f"{self.seed}/{sender}/{receiver}")
                    self.relays[sender, receiver] = relay
                    self._relay_addresses[sender, receiver] = self._loop.run(relay.open())

    def close(self) -> None:
        """Stop all processes, relays and hosts."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait(10)
        for relay in self.relays.values():
            self._loop.call(relay.close)
        for host in self.hosts:
            self._loop.run(host.stop())
        self._loop.close()

    def wait_until(self, condition: Callable[[], Any], description: str, timeout_s: float = TIMEOUT_S) -> Any:
        """Poll until the condition is true, and return its value. Raises AssertionError after the timeout."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            value = condition()
            if value:
                return value
            time.sleep(POLL_S)
        raise AssertionError(f"timed out waiting for {description}: {self.last_states}")

    # Gateways

    def write_config(self, name: str, **changes: Any) -> Path:
        """Write a gateway's file, and return its path. `changes` adds or replaces tables."""
        peers = {other: self._relay_addresses[name, other] for other in self.regions if other != name}
        gateway = Gateway(name, self.regions[name], self.address, self.ports[name], peers)
        tables = gateway_config(gateway, self.hosts, len(self.regions), self.seed) | self.tables | changes
        path = self.folder / f"{name}.toml"
        path.write_text(tomli_w.dumps(tables))
        return path

    def start(
        self, name: str, wait: bool = True, program: tuple[str, ...] = ("-m", "puffindeck"), **changes: Any
    ) -> None:
        """Start a gateway and, unless `wait` is false, wait until it is ready.

        `program` are the interpreter's arguments that name the program, and `changes` is as in `write_config`.
        Raises NodeExitedError if the process ends before it is ready.
        """
        path = self.write_config(name, **changes)
        with self._log_path(name).open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *program, "--config", str(path)],
                stdout=log,
                stderr=log,
                env={**os.environ, "TMPDIR": str(self.folder)},
            )
        if wait:
            self.wait_until_ready(name)

    def start_all(self) -> None:
        """Start all gateways concurrently, and wait until all are ready. Raises NodeExitedError."""
        for name in self.regions:
            self.start(name, wait=False)
        for name in self.regions:
            self.wait_until_ready(name)

    def wait_until_ready(self, name: str) -> None:
        """Wait until a gateway is ready. Raises NodeExitedError if its process ends first."""

        def is_ready() -> bool:
            """Return whether the gateway reports ready. Raises NodeExitedError if its process has ended."""
            raise_if_exited(name, self.processes[name], self._log_path(name))
            return self.operator_call(name, "/_ready") == "yes"

        self.wait_until(is_ready, f"{name} to be ready")

    def _log_path(self, name: str) -> Path:
        return self.folder / f"{name}.log"

    def log(self, name: str) -> str:
        """Return the log of all processes of this gateway."""
        return self._log_path(name).read_text()

    def send_signal(self, name: str, number: int) -> None:
        """Send a signal to a gateway's process."""
        self.processes[name].send_signal(number)

    def operator_call(self, name: str, path: str, method: str = "GET") -> str:
        """Make an operator's call, and return the body of the answer, or "" if none arrives within 1 s."""
        url = f"http://{self.address}:{self.ports[name].operators}{path}"
        request = urllib.request.Request(url, method=method)
        try:
            with urllib.request.urlopen(request, timeout=OPERATOR_CALL_TIMEOUT_S) as answer:
                return str(answer.read().decode().strip())
        except OSError:
            return ""

    def status(self, name: str, path: str = "/_fleet") -> dict[str, Any]:
        """Return the JSON object that answers an operator's call, or {} if the answer is no JSON object."""
        text = self.operator_call(name, path)
        return dict(json.loads(text)) if text.startswith("{") else {}

    def states(self, name: str) -> dict[str, str]:
        """Return each member's state from the view of this gateway."""
        return {member["name"]: member["state"] for member in self.status(name).get("members", [])}

    def all_alive(self, *excluded: str) -> bool:
        """Return whether every gateway, except the excluded ones, considers all members alive."""
        names = set(self.regions) - set(excluded)
        self.last_states = {name: self.states(name) for name in sorted(names)}
        return all(states == dict.fromkeys(self.regions, "alive") for states in self.last_states.values())

    def set_faults(self, sender: str, receiver: str, **changes: Any) -> None:
        """Change the faults of one direction between two gateways (see `LinkFaults`)."""
        relay = self.relays[sender, receiver]
        relay.faults = replace(relay.faults, **changes)

    def partition(self, *sides: set[str], cut: bool = True) -> None:
        """Cut all links between these sets of gateways, or with `cut=False` restore them."""
        for side in sides:
            for other_side in sides:
                if side is not other_side:
                    for sender in side:
                        for receiver in other_side:
                            self.set_faults(sender, receiver, cut=cut)

    # Clients

    def start_client(
        self, name: str, group: str = "0", hold_s: float = 0.05, request_class: str = "claim-status"
    ) -> ClientResult:
        """Start a client of a gateway. Its answers are appended to the returned result as they arrive."""
        number = len(self.results) + 1
        result = ClientResult(f"{number:016x}", name, time.time())
        self.results.append(result)
        line = f"OPEN {result.request_id} {number * 7919:016x} c={request_class},d=1800,g={group}"
        self._loop.start(run_client(self.address, self.ports[name].clients, line, hold_s, result))
        return result

    def send_load(self, rates: dict[str, float], duration_s: float, group: str = "0", hold_s: float = 0.05) -> None:
        """Start clients at each gateway for a time span. `rates` are the clients per second at each gateway."""
        began = time.monotonic()
        started = dict.fromkeys(rates, 0)
        while (elapsed_s := time.monotonic() - began) < duration_s:
            for name, rate in rates.items():
                while started[name] < rate * elapsed_s:
                    started[name] += 1
                    self.start_client(name, group, hold_s)
            time.sleep(0.005)
