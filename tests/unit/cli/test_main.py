from __future__ import annotations

import json
from pathlib import Path

from click.testing import CliRunner

from ibisspring_cli.main import main
from ibisspring_cli.session import EXIT_FINDINGS, EXIT_UNREACHABLE
from ibisspring_core.rules import key_digest


def _run(*arguments: str):
    return CliRunner().invoke(main, arguments, env={"IBISSPRING_CONTROL": ""})


def test_rules_check_prints_every_finding_with_its_position(tmp_path: Path) -> None:
    path = tmp_path / "rules.txt"
    path.write_text("allow nobody service x\ntimeout\n")

    as_text = _run("rules", "check", str(path))
    as_json = _run("rules", "check", str(path), "--json")

    assert as_text.exit_code == as_json.exit_code == EXIT_FINDINGS
    assert f"{path}:1:7: no rule defines client_account 'nobody'" in as_text.output
    findings = json.loads(as_json.output)["findings"]
    assert {finding["line"] for finding in findings} == {1, 2}


def test_a_new_key_matches_its_digest() -> None:
    created = json.loads(_run("--json", "key", "new").output)

    assert created["digest"] == f"sha256:{key_digest(created['key'])}"
    assert len(created["key"]) >= 43


def test_an_invalid_rules_file_is_not_sent_to_control(tmp_path: Path) -> None:
    path = tmp_path / "rules.txt"
    path.write_text("nonsense\n")

    result = _run("--control", "127.0.0.1:1", "rules", "apply", str(path), "--base", "0")

    assert result.exit_code == EXIT_FINDINGS


def test_without_a_control_daemon_the_error_names_the_option_or_the_addresses() -> None:
    without_address = _run("status")
    unreachable = _run("--control", "127.0.0.1:1", "--timeout", "0.3", "status", "--json")

    assert without_address.exit_code == EXIT_FINDINGS
    assert "--control IP:port or IBISSPRING_CONTROL" in without_address.output
    assert unreachable.exit_code == EXIT_UNREACHABLE
    error = json.loads(unreachable.output)["error"]
    assert error["reason"] == "no_leader" and "127.0.0.1:1" in error["message"]


def test_settings_check_reports_a_missing_setting(tmp_path: Path) -> None:
    path = tmp_path / "settings.yaml"
    path.write_text("daemon: e1\n")

    assert _run("settings", "check", str(path)).exit_code == EXIT_FINDINGS


def test_help_shows_a_first_session_and_the_exit_codes() -> None:
    output = _run("--help").output

    assert "rules apply rules.txt --base 3" in output
    assert "Exit codes" in output
