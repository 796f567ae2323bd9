"""Reads a backend section, which becomes a pool: servers, tiers of backups and limits."""

from __future__ import annotations

from collections.abc import Callable

from puffindeck.importer.import_report import Disposition, ImportReport
from puffindeck.importer.keywords import record_keyword
from puffindeck.importer.sections import Section
from puffindeck.importer.server import Server, ServerOptionReader, ServerOptions
from puffindeck.importer.server_state_file import ServerKey, ServerState
from puffindeck.importer.statement import Statement
from puffindeck.importer.values import MAX_PORT, parse_endpoint, parse_integer, parse_time_ms

HASHED_BALANCES = ("source", "uri", "url_param", "hdr", "hash", "rdp-cookie")  # algorithms that hash a key
MIN_ARGUMENTS = {
    "server": 2,
    "server-template": 3,
    "timeout": 2,
    "retries": 1,
    "hash-type": 1,
    "hash-balance-factor": 1,
    "balance": 1,
    "fullconn": 1,
}
DEFAULT_RETRIES = 3  # HAProxy's default
MAX_RETRIES = 100
MAX_HASH_BALANCE_FACTOR = 65535  # percent of the mean load
SERVER_TIMEOUTS = ("connect", "server")
UNSET_SLOW_START_MS = -1.0


class Backend:
    """The servers and server settings of a backend or listen section."""

    def __init__(self, section: Section, report: ImportReport, states: dict[ServerKey, ServerState]) -> None:
        self.section = section
        self.name = section.name
        self.servers: list[Server] = []
        self.is_hashed = False  # whether connections are placed by the hash of a key
        self.is_consistent = False  # whether the hash is consistent
        self.uses_all_backups = False  # whether all backups form one tier (`option allbackups`)
        self.load_bound = 0.0  # multiple of the mean load; 0: not set
        self.timeouts_ms: dict[str, float] = {}  # by kind: `connect` or `server`
        self.attempts = DEFAULT_RETRIES + 1
        self.slow_start_ms = UNSET_SLOW_START_MS
        self._report = report
        # States by server, shared by all backends; each backend removes the states that it applies.
        self._unused_states = states
        self._default_options = ServerOptions()
        self._server_names: set[str] = set()
        self._readers: dict[str, Callable[[Statement, list[str]], None]] = {
            "balance": self._read_balance,
            "hash-type": self._read_hash_type,
            "hash-balance-factor": self._read_hash_balance_factor,
            "timeout": self._read_timeout,
            "retries": self._read_retries,
            "retry-on": self._read_retry_on,
            "default-server": self._read_default_server,
            "server": self._read_server,
            "server-template": self._read_server_template,
        }

    def read(self, statement: Statement) -> bool:
        """Read a statement about servers. Returns False, and does nothing, for any other statement.

        Raises HaproxyImportError for an invalid statement.
        """
        keyword, *arguments = statement.words
        if len(arguments) < MIN_ARGUMENTS.get(keyword, 0):
            raise statement.error(f"{keyword}: an argument is missing")
        if keyword in ("no", "default") and arguments[:2] == ["option", "allbackups"]:
            self.uses_all_backups = False
            self._record_carried(statement)
            return True
        if keyword == "option" and arguments[:1] == ["allbackups"]:
            self.uses_all_backups = True
            self._record_carried(statement, "all backups are used together")
            return True
        if keyword not in self._readers:
            return False
        if keyword == "timeout" and arguments[0] not in SERVER_TIMEOUTS:
            return False
        self._readers[keyword](statement, arguments)
        return True

    def tiers(self, uid: Callable[[Server], str]) -> list[list[str]]:
        """Return the uids of servers by tier.

        Without `allbackups` each backup is a tier of its own, in the order of the statements. If all servers
        are backups, the first tier has the backups that HAProxy would use first.
        """
        primaries = [uid(server) for server in self.servers if not server.is_backup]
        backups = [uid(server) for server in self.servers if server.is_backup]
        backup_tiers = [backups] if self.uses_all_backups else [[backup] for backup in backups]
        return [tier for tier in (primaries, *backup_tiers) if tier]

    def needs_pool(self) -> bool:
        """Return whether the backend needs a pool, because a list of servers cannot express its settings."""
        return any(server.is_backup or server.maxconn for server in self.servers)

    def _record_carried(self, statement: Statement, note: str = "") -> None:
        self._report.record(statement.location, Disposition.CARRIED, note)

    def _record_changed(self, statement: Statement, note: str) -> None:
        self._report.record(statement.location, Disposition.CHANGED, note)

    # Placement of connections, and limits

    def _read_balance(self, statement: Statement, arguments: list[str]) -> None:
        algorithm = arguments[0]
        self.is_hashed = algorithm.split("(")[0] in HASHED_BALANCES
        note = "connections are placed by their keys' hash"
        if self.is_hashed:
            note = "the key is taken from the client's first line"
        self._record_changed(statement, f"balance {algorithm}: {note}")

    def _read_hash_type(self, statement: Statement, arguments: list[str]) -> None:
        self.is_consistent = arguments[0] == "consistent"
        if not self.is_consistent:
            self._record_changed(statement, f"hash-type {arguments[0]}: the hash is always consistent here")
        elif len(arguments) > 1:
            self._record_changed(
                statement, f"hash function {arguments[1]}: not used, as the hash function is fixed here"
            )
        else:
            self._record_carried(statement)

    def _read_hash_balance_factor(self, statement: Statement, arguments: list[str]) -> None:
        percent = parse_integer(statement, arguments[0], 0, MAX_HASH_BALANCE_FACTOR)
        if 0 < percent <= 100:
            raise statement.error("hash-balance-factor must be 0 or over 100")
        self.load_bound = percent / 100
        if percent:
            self._record_carried(statement, f"bound = {self.load_bound:g}")
        else:
            self._record_changed(statement, "hash-balance-factor 0: load is always bounded here")

    def _read_timeout(self, statement: Statement, arguments: list[str]) -> None:
        kind, time = arguments[:2]
        self.timeouts_ms[kind] = parse_time_ms(statement, time)
        if kind == "connect":
            self._record_carried(statement, "settings.limits.connectTimeoutMs")
        else:
            note = (
                "the class's hardLimitMs: bounds the time until a connection is established, not its duration"
            )
            self._record_changed(statement, note)

    def _read_retries(self, statement: Statement, arguments: list[str]) -> None:
        self.attempts = parse_integer(statement, arguments[0], 0, MAX_RETRIES) + 1
        self._record_carried(statement, f"{self.attempts} attempts")

    def _read_retry_on(self, statement: Statement, arguments: list[str]) -> None:
        if arguments == ["none"]:
            self.attempts = 1
            self._record_carried(statement, "one attempt")
        elif arguments == ["conn-failure"]:
            note = "another host is also tried after a host that answers with an error or not at all"
            self._record_changed(statement, note)
        else:
            record_keyword(self._report, "proxy", statement)

    # Servers

    def _read_options(self, statement: Statement, words: list[str]) -> ServerOptions:
        return ServerOptionReader(statement, words, self._default_options, self._report).read()

    def _read_default_server(self, statement: Statement, arguments: list[str]) -> None:
        self._default_options = self._read_options(statement, arguments)
        self._record_carried(statement)

    def _reserve_name(self, statement: Statement, name: str) -> None:
        if name in self._server_names:
            raise statement.error(f"server {name} is already defined")
        self._server_names.add(name)

    def _read_server(self, statement: Statement, arguments: list[str]) -> None:
        name, address, *options = arguments
        endpoint = parse_endpoint(statement, address)
        self._reserve_name(statement, name)
        if endpoint is None:
            note = f"{address} is not an address and port: the server is left out"
            self._report.record(statement.location, Disposition.TRAFFIC, note)
            return
        self._record_carried(statement)
        self._add_server(statement, name, endpoint, self._read_options(statement, options))

    def _read_server_template(self, statement: Statement, arguments: list[str]) -> None:
        prefix, numbers, address, *words = arguments
        low, dash, high = numbers.partition("-")
        first = parse_integer(statement, low, 1, MAX_PORT) if dash else 1
        last = parse_integer(statement, high if dash else low, first, MAX_PORT)
        endpoint = parse_endpoint(statement, address)
        if endpoint is None:
            note = f"{address} is not an address and port: names are not looked up here"
            self._report.record(statement.location, Disposition.TRAFFIC, note)
            return
        options = self._read_options(statement, words)
        for number in range(first, last + 1):
            name = f"{prefix}{number}"
            self._reserve_name(statement, name)
            self._add_server(statement, name, endpoint, options)
        note = f"{last + 1 - first} servers at one address, as the template says"
        self._record_changed(statement, note)

    def _add_server(self, statement: Statement, name: str, endpoint: str, options: ServerOptions) -> None:
        server = Server(
            name,
            endpoint,
            options.weight,
            options.is_backup,
            options.is_disabled,
            options.maxconn,
        )
        if options.slowstart_ms:
            self.slow_start_ms = max(self.slow_start_ms, options.slowstart_ms)
        state = self._unused_states.pop(ServerKey(self.name, name), None)
        if state is not None:
            self._apply_state(statement, server, state)
        self.servers.append(server)

    def _apply_state(self, statement: Statement, server: Server, state: ServerState) -> None:
        server.weight = state.weight
        if state.is_draining and not server.is_draining:
            self._record_changed(statement, "drains, as the state file says")
        server.is_draining = server.is_draining or state.is_draining
