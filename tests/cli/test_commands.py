"""The commands: output, files and exit codes."""

from __future__ import annotations

import json
import re
import subprocess
import sys
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from puffindeck import config
from tests.importer.configurations import BACKENDS

ROOT = Path(__file__).parents[2]
COMMAND = ("-m", "puffindeck.cli", "import", "haproxy")


def test_version_and_help_are_printed_without_installation() -> None:
    """The package is run from its folder, where it need not be installed."""
    command = (sys.executable, "-m", "puffindeck.cli")
    for argument, expected in (("--version", "0.1.0"), ("--help", "import"), ("import", "haproxy")):
        done = subprocess.run([*command, argument], capture_output=True, text=True, cwd=ROOT)
        assert expected in done.stdout + done.stderr, done.stderr
    done = subprocess.run([*command, "check", "no-such-file"], capture_output=True, text=True, cwd=ROOT)
    assert (done.returncode, "no-such-file" in done.stderr) == (2, True)


def test_files_of_a_folder_are_imported_as_one_and_reported_by_name(tmp_path: Path) -> None:
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
    report_content = json.loads(report.read_text())
    assert report_content["statements"] == len(report_content["verdicts"]) == 7
    assert {v["at"].rpartition("/")[2].partition(":")[0] for v in report_content["verdicts"]} == {
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


class ExitCodeTests(TestCase):
    """Exit codes of the import command."""

    def test_missing_input_exits_with_2(self) -> None:
        done = subprocess.run(
            [sys.executable, *COMMAND, "no-such-file"], capture_output=True, text=True, cwd=ROOT
        )
        self.assertEqual((done.returncode, done.stdout), (2, ""))

    def test_strict_exits_with_3_if_traffic_is_affected_and_writes_nothing(self) -> None:
        with TemporaryDirectory() as folder:
            source, out = Path(folder, "h.cfg"), Path(folder, "o.toml")
            out.write_text("as it was")
            command = [sys.executable, *COMMAND, str(source), "-o", str(out), "--strict"]
            for text, code in (
                ("backend b\n server a 127.0.0.1:1\n use-server a if TRUE\n", 3),
                ("backend b\n server a 127.0.0.1:1\n server 'a\n", 2),
                ("backend b\n \xe9\n", 2),
            ):
                source.write_text(text, encoding="latin-1")
                done = subprocess.run(command, capture_output=True, text=True, cwd=ROOT)
                self.assertEqual((done.returncode, out.read_text()), (code, "as it was"), done.stderr)
            self.assertIn("h.cfg:2: not UTF-8", done.stderr)
            source.write_text("backend b\n server a 127.0.0.1:1 check\n")
            self.assertEqual(subprocess.run(command, capture_output=True, cwd=ROOT).returncode, 0)
            self.assertIn("127.0.0.1:1", out.read_text())
