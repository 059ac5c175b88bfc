from __future__ import annotations

from pathlib import Path

from click.testing import CliRunner

from ibisspring_daemon.main import EXIT_BAD_SETTINGS, main


def test_check_prints_every_finding_and_exits(tmp_path: Path) -> None:
    path = tmp_path / "settings.yaml"
    path.write_text("daemon: c1\nrolls: [entry]\n")

    result = CliRunner().invoke(main, ["--settings", str(path), "--check"])

    assert result.exit_code == EXIT_BAD_SETTINGS
    assert f"{path}:2:1: unknown setting 'rolls'" in result.output
    assert "setting 'roles' is missing" in result.output
