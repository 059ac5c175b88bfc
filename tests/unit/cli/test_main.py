from __future__ import annotations

import json
from pathlib import Path

from click.testing import CliRunner

from ibisspring_cli.main import main
from ibisspring_cli.session import EXIT_FINDINGS, EXIT_UNREACHABLE
from ibisspring_core.rules import key_digest


def _run(*arguments: str):
    return CliRunner().invoke(main, arguments, env={"IBISSPRING_CONTROL": ""})


def test_a_checked_file_shows_every_finding_with_its_place(tmp_path: Path) -> None:
    path = tmp_path / "rules.txt"
    path.write_text("allow nobody service x\ntimeout\n")

    text = _run("rules", "check", str(path))
    as_json = _run("rules", "check", str(path), "--json")

    assert text.exit_code == as_json.exit_code == EXIT_FINDINGS
    assert f"{path}:1:7: no rule defines client_account 'nobody'" in text.output
    found = json.loads(as_json.output)["findings"]
    assert {finding["line"] for finding in found} == {1, 2}


def test_a_new_key_fits_its_digest() -> None:
    made = json.loads(_run("--json", "key", "new").output)

    assert made["digest"] == f"sha256:{key_digest(made['key'])}"
    assert len(made["key"]) >= 43


def test_a_broken_file_is_not_sent_anywhere(tmp_path: Path) -> None:
    path = tmp_path / "rules.txt"
    path.write_text("nonsense\n")

    result = _run("--control", "127.0.0.1:1", "rules", "apply", str(path), "--base", "0")

    assert result.exit_code == EXIT_FINDINGS


def test_without_a_control_daemon_the_error_says_what_to_do() -> None:
    unnamed = _run("status")
    unreachable = _run("--control", "127.0.0.1:1", "--timeout", "0.3", "status", "--json")

    assert unnamed.exit_code == EXIT_FINDINGS
    assert "--control IP:port or IBISSPRING_CONTROL" in unnamed.output
    assert unreachable.exit_code == EXIT_UNREACHABLE
    error = json.loads(unreachable.output)["error"]
    assert error["reason"] == "no_leader" and "127.0.0.1:1" in error["message"]


def test_settings_are_checked(tmp_path: Path) -> None:
    path = tmp_path / "settings.yaml"
    path.write_text("daemon: e1\n")

    assert _run("settings", "check", str(path)).exit_code == EXIT_FINDINGS


def test_help_teaches_a_first_session() -> None:
    output = _run("--help").output

    assert "rules apply rules.txt --base 3" in output
    assert "Exit codes" in output
