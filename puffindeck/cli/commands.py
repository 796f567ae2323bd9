"""The commands, their options and exit codes.

Exit codes: 0 for success; 2 if input or output cannot be read, written or used, and no operator's
file was written; 3 for `import --strict` if a statement is refused and traffic is affected.
"""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
import msgspec

from puffindeck import __version__, config
from puffindeck.importer import haproxy
from puffindeck.importer.files import read_file, read_files, replace_file
from puffindeck.importer.import_report import Disposition, ImportReport

if TYPE_CHECKING:
    from puffindeck.routing import Pool, Routing

FILE = click.Path(dir_okay=False, path_type=Path)
EXIT_FAILED = 2
EXIT_TRAFFIC_AFFECTED = 3  # `import --strict`


class CommandError(click.ClickException):
    """The command fails with one line on standard error and exit code 2."""

    exit_code = EXIT_FAILED

    def show(self, file: Any = None) -> None:
        """Print the message on standard error."""
        click.echo(f"puffindeck: {self.message}", err=True)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, message="%(version)s")
def main() -> None:
    """A balancer for long-lived connections."""


@main.command()
@click.option(
    "--config",
    "file",
    type=FILE,
    help="An operator's file (TOML), in place of the file that EDGE_CONFIG names.",
)
def run(file: Path | None) -> None:
    """Run one node until SIGTERM."""
    from puffindeck.__main__ import main as run_node  # installs the reactor

    sys.exit(run_node(["--config", str(file)] if file else []))


@main.command()
@click.argument("file", type=FILE)
def check(file: Path) -> None:
    """Check an operator's file as a node reads it, and print a summary. No socket is opened."""
    try:
        node = config.load_node_config({}, str(file))
    except config.ConfigError as error:
        raise CommandError(str(error)) from None
    host, port = node.listen
    class_names = ", ".join(request_class.name for request_class in node.settings.classes)
    click.echo(
        f"{file}: node {node.name} on {host}:{port}, {len(node.file_endpoints.targets)} servers, "
        f"classes {class_names}"
    )
    if node.routing is not None:
        _describe_routing(file, node, node.routing)


def _describe_routing(file: Path, node: config.NodeConfig, routing: Routing) -> None:
    for name, (host, port) in routing.listeners.items():
        click.echo(f"  listener {name} on {host}:{port}")
    for pool in routing.pools:
        tiers = "; then ".join(", ".join(tier) for tier in pool.tiers)
        click.echo(f"  pool {pool.name}: {tiers}")
        if node.discovery is None:
            _check_servers_are_known(file, node, pool)
    for number, route in enumerate(routing.table.routes, 1):
        click.echo(f"  route {number}: {route.pool}{' under conditions' if route.when else ''}")


def _check_servers_are_known(file: Path, node: config.NodeConfig, pool: Pool) -> None:
    """Raise CommandError for a server of the pool that is not in `known`.

    Applies only to files without discovery, in which `known` lists all servers.
    """
    known = {target.uid for target in node.file_endpoints.targets}
    for server in (server for tier in pool.tiers for server in tier):
        is_pattern = "*" in server or "?" in server
        if not is_pattern and server not in known:
            raise CommandError(f"{file}: routing.pools.{pool.name}: {server} is not in known")


@main.group("import")
def import_() -> None:
    """Convert another program's configuration to an operator's file."""


@import_.command("haproxy")
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("-o", "--output", type=FILE, help="Where to write; standard output by default.")
@click.option(
    "--report", "report_file", type=FILE, help="Where to write the report on every statement, as JSON."
)
@click.option(
    "--state", "state_file", type=FILE, help="A file of server states, as `show servers state` writes it."
)
@click.option("--backend", default="", help="The only backend to import, with its frontends.")
@click.option(
    "--strict", is_flag=True, help="Write no operator's file and exit with 3 if traffic is affected."
)
@click.option(
    "--table",
    "every_statement",
    is_flag=True,
    help="Print the verdict on every statement, not only on changed and refused ones.",
)
def import_haproxy(
    files: tuple[Path, ...],
    output: Path | None,
    report_file: Path | None,
    state_file: Path | None,
    backend: str,
    strict: bool,
    every_statement: bool,
) -> None:
    """Convert HAProxy configuration FILES, read in order (for a folder, its *.cfg files by name)."""
    try:
        sources = read_files(files)
        server_states = read_file(state_file) if state_file else None
        table, report = haproxy.convert_files(sources, backend, os.environ, server_states)
        _print_report(report, every_statement)
        if report_file:
            replace_file(report_file, _encode_report(report))
        if strict and report.affects_traffic():
            sys.exit(EXIT_TRAFFIC_AFFECTED)
        _write_operator_file(msgspec.toml.encode(table), output)
    except haproxy.HaproxyImportError as error:
        raise CommandError(str(error)) from None
    except OSError as error:
        raise CommandError(f"{error.filename or files[0]}: {error.strerror}") from None


def _encode_report(report: ImportReport) -> bytes:
    return msgspec.json.format(msgspec.json.encode(report.to_json_object())) + b"\n"


def _write_operator_file(content: bytes, output: Path | None) -> None:
    if output:
        replace_file(output, content)
    else:
        sys.stdout.buffer.write(content)


def _print_report(report: ImportReport, every_statement: bool) -> None:
    """Print the text report on standard error."""
    for line in report.text_lines(every_statement):
        click.echo(line, err=True)
    counts = report.counts()
    reported = (Disposition.CARRIED, Disposition.CHANGED, Disposition.REFUSED, Disposition.HARMLESS)
    totals = ", ".join(f"{counts[disposition.value]} {disposition.value}" for disposition in reported)
    click.echo(f"{len(report.results)} statements: {totals}", err=True)
