from __future__ import annotations

from pathlib import Path

import pytest

from ibisspring_core.errors import Finding
from ibisspring_core.settings import Settings, load_settings

GOOD = """\
daemon: c1
data_centre: derby
roles: [control, entry]
control_addresses: {c1: "127.0.0.1:7101"}
data_folder: /var/lib/ibisspring
control:
  listen: 127.0.0.1:7101
entry:
  listen_http: 127.0.0.1:8080
  listen_peer: 127.0.0.1:8090
"""


def _load(folder: Path, text: str) -> Settings | tuple[Finding, ...]:
    path = folder / "settings.yaml"
    path.write_text(text)
    return load_settings(str(path))


def test_valid_settings_load(tmp_path: Path) -> None:
    settings = _load(tmp_path, GOOD)

    assert isinstance(settings, Settings)
    assert settings.roles == ("control", "entry")
    assert settings.control.heartbeat_s == 0.2


def test_all_findings_are_reported_together_with_positions(tmp_path: Path) -> None:
    text = GOOD.replace("daemon: c1", "deamon: c1").replace(
        "  listen_peer: 127.0.0.1:8090", "  renew_every_s: often"
    )

    findings = _load(tmp_path, text)

    assert [(finding.line, finding.column) for finding in findings] == [
        (1, 1),
        (1, 1),
        (9, 3),
        (10, 18),
    ]
    assert "unknown setting 'deamon'" in findings[0].message + findings[1].message
    assert "must be a number, not 'often'" in findings[3].message


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ("  listen: 127.0.0.1:7101\n  leader_lease_s: 1.0", "leader_lease_s must be under"),
        ("  listen: 127.0.0.1:7101\n  entry_lease_s: 1.5", "entry_lease_s must be at least twice"),
        ("  listen: 127.0.0.1:7101\n  heartbeat_s: -1", "must not be negative"),
        ("  listen: 127.0.0.1:7101\n  listen: 127.0.0.1:7101", "is set twice"),
    ],
)
def test_unsafe_control_settings_are_findings(tmp_path: Path, change: str, message: str) -> None:
    findings = _load(tmp_path, GOOD.replace("  listen: 127.0.0.1:7101", change, 1))

    assert any(message in finding.message for finding in findings)


def test_broken_yaml_is_a_finding(tmp_path: Path) -> None:
    (finding,) = _load(tmp_path, "daemon: [c1\nroles: x: y")

    assert finding.line >= 1
    assert "not YAML" in finding.message
