"""Parts of the importer: ACLs, conditional parts, state files, pools, several files, the command."""

from __future__ import annotations

import json
import re
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from puffindeck import config
from puffindeck.importer import acl, haproxy
from puffindeck.importer.sections import SourceFile
from puffindeck.importer.statement import Statement

ROOT = Path(__file__).parents[2]
STATEMENT = Statement("h.cfg:1", ["use_backend"])
BACKENDS = "backend a\n server x 127.0.0.1:1\nbackend b\n server y 127.0.0.1:2\n"


def groups(text: str, *acls: str) -> Any:
    known = acl.Acls()
    for one in acls:
        known.add(STATEMENT, one.split())
    return known.parse_condition(STATEMENT, text.split())


NEAR = {"on": "source", "is": ["10.0.0.0/8"]}
WEB = {"on": "port", "is": ["80", "8000:8099"]}


@pytest.mark.parametrize(
    ("text", "made"),
    [
        ("", [[]]),
        ("if near", [[NEAR]]),
        ("if near web", [[NEAR, WEB]]),
        ("if near or web", [[NEAR], [WEB]]),
        ("if near || web", [[NEAR], [WEB]]),
        ("if !near", [[{**NEAR, "not": True}]]),
        ("if ! near", [[{**NEAR, "not": True}]]),
        ("unless near", [[{**NEAR, "not": True}]]),
        ("unless near or web", [[{**NEAR, "not": True}, {**WEB, "not": True}]]),
        ("unless near web", [[{**NEAR, "not": True}], [{**WEB, "not": True}]]),
        ("unless !near", [[{**NEAR, "not": False}]]),
        ("if TRUE near", [[NEAR]]),
        ("if FALSE near", []),
        ("if { src 10.0.0.0/8 }", [[NEAR]]),
        ("if !{ dst_port gt 9 }", [[{"on": "port", "is": ["10:"], "not": True}]]),
        ("if { dst_port lt 0 }", []),
        ("if { nbsrv(a) lt 2 }", [[{"on": "usable", "pool": "a", "is": [":1"]}]]),
        ("if both", [[NEAR], [{"on": "source", "is": ["::1"]}]]),
    ],
)
def test_conditions_become_groups(text: str, made: Any) -> None:
    assert (
        groups(
            text, "near src 10.0.0.0/8", "web dst_port 80 8000:8099", "both src -n 10.0.0.0/8", "both src ::1"
        )
        == made
    )


@pytest.mark.parametrize(
    "text",
    [
        "if",
        "when near",
        "if near or",
        "if or near",
        "if { src }",
        "if { src 10.0.0.1",
        "if !",
        "if nobody",
        "if { dst_port eighty }",
        "if { dst_port gt 1:2 }",
        "if { }",
    ],
)
def test_a_condition_that_haproxy_would_not_read_is_an_error(text: str) -> None:
    with pytest.raises(haproxy.HaproxyImportError, match=r"^h\.cfg:1: "):
        groups(text, "near src 10.0.0.0/8")


@pytest.mark.parametrize(
    "text",
    [
        "if { path_beg /static }",
        "if { req.ssl_sni -i a.example }",
        "if { src -f /etc/list }",
        "if METH_GET",
        "if { nbsrv lt 1 }",
        "if odd",
    ],
)
def test_what_is_not_known_of_a_connection_is_said_to_be(text: str) -> None:
    with pytest.raises(acl.UnsupportedConditionError):
        groups(text, "odd hdr(host) -i a.example")


def test_every_option_of_a_bind_has_its_word() -> None:
    _, report = haproxy.convert(
        "h.cfg", "frontend f\n bind :7 name x crt /etc/y ssl teleport\n default_backend a\n" + BACKENDS
    )
    entry = report.results["h.cfg:2"]
    assert entry.disposition == "traffic"
    assert [says.split(":")[0] for says in entry.notes] == ["name", "crt", "ssl", "teleport"]


def test_a_route_that_cannot_be_told_affects_traffic_and_the_others_stay() -> None:
    text = (
        "frontend f\n bind :7\n use_backend a if { req.ssl_sni x }\n use_backend b if { src 10.0.0.1 }\n"
        " default_backend a\n" + BACKENDS
    )
    table, report = haproxy.convert("h.cfg", text)
    assert report.results["h.cfg:3"].disposition == "traffic"
    assert [route["pool"] for route in table["routing"]["routes"]] == ["b", "a"]


@pytest.mark.parametrize(
    ("text", "line"),
    [
        ("frontend f\n bind :7\n use_backend nowhere\n" + BACKENDS, 3),
        ("frontend f\n bind :7\n default_backend nowhere\n" + BACKENDS, 3),
        ("frontend f\n bind :7\n use_backend a if { nbsrv(nowhere) lt 1 }\n" + BACKENDS, 3),
        ("frontend f\n bind :7\n acl x\n" + BACKENDS, 3),
        (".if streq(a,a)\n" + BACKENDS, 1),
        (".else\n" + BACKENDS, 1),
        (".if feature(OPENSSL)\n.endif\n" + BACKENDS, 1),
        (".if (1\n.endif\n" + BACKENDS, 1),
        (".if 1\n.else\n.elif 1\n.endif\n" + BACKENDS, 3),
        ('.if 1\n.error "not this one"\n.endif\n' + BACKENDS, 2),
        (BACKENDS + ' server z "127.0.0.1:${NOBODY}"\n', 5),
        ("defaults a from b\n mode tcp\n" + BACKENDS, 1),
        ("backend a\n server-template x 3-1 127.0.0.1:1\n", 2),
    ],
)
def test_errors_name_the_line(text: str, line: int) -> None:
    with pytest.raises(haproxy.HaproxyImportError, match=rf"^h\.cfg:{line}: "):
        haproxy.convert("h.cfg", text)


@pytest.mark.parametrize(
    ("condition", "met"),
    [
        ("", False),
        ("0", False),
        ("1", True),
        ("!1", False),
        ("1 && 0", False),
        ("0 || 1", True),
        ("!(1 && 0)", True),
        ("defined(SITE)", True),
        ("defined(OTHER)", False),
        ('streq("${SITE}",atlanta)', True),
        ("strneq(a,b) && version_before(2.7)", True),
        ("version_atleast(2.7)", False),
    ],
)
def test_parts_count_by_their_conditions(condition: str, met: bool) -> None:
    one, other = BACKENDS.split("backend b")[0], "backend b" + BACKENDS.split("backend b")[1]
    text = f".if {condition}\n{one}.else\n{other}.endif\n"
    table, report = haproxy.convert("h.cfg", text, environment={"SITE": "atlanta"})
    assert table["name"] == ("a" if met else "b")
    assert not report.without_disposition()


def test_a_part_that_does_not_count_may_name_what_is_not_set() -> None:
    haproxy.convert("h.cfg", '.if 0\nbackend c\n server z "${NOBODY}"\n.if 1\n.endif\n.endif\n' + BACKENDS)


def test_the_command_says_what_it_is() -> None:
    """Also where the package is not installed but run from its folder."""
    command = (sys.executable, "-m", "puffindeck.cli")
    for word, said in (("--version", "0.1.0"), ("--help", "import"), ("import", "haproxy")):
        done = subprocess.run([*command, word], capture_output=True, text=True, cwd=ROOT)
        assert said in done.stdout + done.stderr, done.stderr
    done = subprocess.run([*command, "check", "no-such-file"], capture_output=True, text=True, cwd=ROOT)
    assert (done.returncode, "no-such-file" in done.stderr) == (2, True)


def test_the_operators_files_that_are_shipped_are_read() -> None:
    told = config.load_node_config({}, str(ROOT / "deploy/operator-pools.toml"))
    assert {pool.name for pool in told.routing.pools} == {"claims", "partners"}
    assert told.json_logs
    assert config.load_node_config({}, str(ROOT / "deploy/operator-quic.toml")).quic is not None


ROUTED = '[routing.pools.a]\nmembers = ["x"]\n[[routing.routes]]\npool = "a"\n'
STATE = """\
1
# be_id be_name srv_id srv_name srv_addr srv_op_state srv_admin_state srv_uweight srv_iweight
3 a 1 x 127.0.0.1 2 {admin} {weight} 1
4 b 1 y 127.0.0.1 0 0 7 1
"""


@pytest.mark.parametrize(
    ("admin", "weight", "state", "hint"),
    [
        (0, 5, "SERVING", 5),
        (8, 5, "DRAINING", 5),
        (1, 5, "DRAINING", 5),
        (4, 5, "SERVING", 5),
        (0, 0, "DRAINING", 1),
    ],
)
def test_what_an_administrator_set_arrives(admin: int, weight: int, state: str, hint: float) -> None:
    text = STATE.format(admin=admin, weight=weight)
    table, report = haproxy.convert_files(
        [SourceFile("h.cfg", BACKENDS)], server_states=SourceFile("s", text)
    )
    found = {t["uid"]: (t["state"], t["capacity_hint"]) for t in table["known"]["targets"]}
    assert found == {"x": (state, hint), "y": ("SERVING", 7)}, "what checks found is not taken over"
    assert report.results["h.cfg:2"].disposition == ("changed" if admin & 9 else "carried")


@pytest.mark.parametrize(
    ("text", "at"),
    [
        ("", "s:1"),
        ("2\n", "s:1"),
        ("1\n# be_name srv_name\n", "s:2"),
        ("1\n3 a 1 x\n", "s:2"),
        (STATE.format(admin="x", weight=1), "s:3"),
        (STATE.format(admin=0, weight=999), "s:3"),
        (STATE.format(admin=0, weight=1) + "9 gone 1 z 127.0.0.1 2 0 1 1\n", "s:5"),
        (STATE.format(admin=0, weight=1) + "4 b 1 y 127.0.0.1 2 0 1 1\n", "s:5"),
        (STATE.format(admin=0, weight=1)[:-8], "s:4"),
    ],
)
def test_a_state_file_that_cannot_be_used_is_refused_whole(text: str, at: str) -> None:
    with pytest.raises(haproxy.HaproxyImportError, match=f"^{at}: "):
        haproxy.convert_files([SourceFile("h.cfg", BACKENDS)], server_states=SourceFile("s", text))


def test_servers_of_one_name_and_templates_and_backups_alone() -> None:
    table, _ = haproxy.convert(
        "h.cfg",
        "backend a\n server x 127.0.0.1:1 backup\n server z 127.0.0.1:3 backup\n"
        "backend b\n server x 127.0.0.1:2\n server-template t 2 127.0.0.1:9\n",
    )
    pools = table["routing"]["pools"]
    assert (pools["a"]["members"], pools["a"]["backups"]) == (["a/x"], [["z"]])
    assert pools["b"]["members"] == ["b/x", "t1", "t2"]


def test_files_are_read_as_one_and_accounted_for_by_their_names(tmp_path: Path) -> None:
    (tmp_path / "10-defaults.cfg").write_text("defaults\n mode tcp\n timeout connect 100ms\n")
    (tmp_path / "20-boxes.cfg").write_text(BACKENDS)
    out, report = tmp_path / "o.toml", tmp_path / "r.json"
    command = [sys.executable, "-m", "puffindeck.cli"]
    done = subprocess.run(
        [*command, "import", "haproxy", str(tmp_path), "-o", str(out), "--report", str(report), "--table"],
        capture_output=True,
        text=True,
        cwd=ROOT,
    )
    assert done.returncode == 0, done.stderr
    told = json.loads(report.read_text())
    assert told["statements"] == len(told["verdicts"]) == 7
    assert {v["at"].rpartition("/")[2].partition(":")[0] for v in told["verdicts"]} == {
        "10-defaults.cfg",
        "20-boxes.cfg",
    }
    assert "20-boxes.cfg:1" in done.stderr
    assert config.load_node_config({}, str(out)).settings.connect_timeout_ms == 100
    checked = subprocess.run([*command, "check", str(out)], capture_output=True, text=True, cwd=ROOT)
    assert (checked.returncode, "pool b: y" in checked.stdout) == (0, True), checked.stderr
    out.write_text(re.sub(r'(members = \[\s*)"y"', r'\1"why"', out.read_text()))
    checked = subprocess.run([*command, "check", str(out)], capture_output=True, text=True, cwd=ROOT)
    assert (checked.returncode, "routing.pools.b: why" in checked.stderr) == (2, True), checked.stderr


@pytest.mark.parametrize(
    ("line", "key"),
    [
        ("[routing.pools.a]\nmembers = []\n", "routing.pools.a.members"),
        ('[routing.pools.a]\nmembers = ["x"]\nbackups = [["x"]]\n', "routing.pools.a: x stands twice"),
        ('[routing.pools.a]\nmembers = ["x"]\nserver_limits = {y = 1}\n', "routing.pools.a.server_limits: y"),
        ('[routing.pools.a]\nmembers = ["x"]\nlimit = -1\n', "routing.pools.a"),
        ('[routing.pools.a]\nmembers = ["x"]\ncolour = 1\n', "colour"),
        ('[routing]\ndefault = "b"\n[routing.pools.a]\nmembers = ["x"]\n', "no pool b"),
        (
            ROUTED + 'when = [[{on = "port", is = ["no"]}]]\n',
            r"routing.routes\[0\].when\[0\]\[0\]: 'no' is no number",
        ),
        ('[routing.pools.a]\nmembers = ["x"]\n[[routing.routes]]\npool = "a"\nwhen = [[]]\n', "empty group"),
    ],
)
def test_routing_that_cannot_be_used_names_its_key(line: str, key: str, tmp_path: Path) -> None:
    table, _ = haproxy.convert("h.cfg", "backend a\n server x 127.0.0.1:1\n")
    import msgspec

    (tmp_path / "o.toml").write_bytes(msgspec.toml.encode(table) + b"\n" + line.encode())
    with pytest.raises(config.ConfigError, match=key):
        config.load_node_config({}, str(tmp_path / "o.toml"))


WORDS = st.sampled_from(
    [
        "acl",
        "use_backend",
        "default_backend",
        "server",
        "bind",
        "backend",
        "frontend",
        "listen",
        "defaults",
        "from",
        "a",
        "b",
        "if",
        "unless",
        "{",
        "}",
        "!",
        "or",
        "src",
        "10.0.0.0/8",
        "127.0.0.1:1",
        ":80",
        "weight",
        "5",
        "backup",
        "maxconn",
        "timeout",
        "connect",
        "1s",
        "nbsrv(a)",
        "lt",
        "balance",
        "source",
        "option",
        "allbackups",
        "no",
        "server-template",
        "1-3",
        ".if",
        ".else",
        ".endif",
        "1",
        "slowstart",
        "disabled",
        '"${X}"',
        "retries",
        "#",
    ]
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(lines=st.lists(st.lists(WORDS, max_size=8).map(" ".join), max_size=12))
def test_whatever_the_words_the_importer_ends_with_a_file_or_an_error(lines: list[str]) -> None:
    text = "\n".join(["backend a", " server s 127.0.0.1:9", *lines]) + "\n"
    try:
        _, report = haproxy.convert("h.cfg", text, environment={"X": "a b"})
    except haproxy.HaproxyImportError as error:
        named = str(error)
    else:
        named = "h.cfg:"
        assert not report.without_disposition()
        assert len(report.results) == sum(bool(line.split("#")[0].strip()) for line in text.splitlines())
    assert named.startswith("h.cfg:")
