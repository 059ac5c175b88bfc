from __future__ import annotations

import json
import tomllib
from pathlib import Path

import pytest

from ibisspring_core.settings.policy import LoadPolicy
from ibisspring_decisions.entry_size import EntrySize
from ibisspring_platform.settings import POLICY_VARIABLE, SETTINGS_FILE_VARIABLE, read_settings

REPOSITORY = Path(__file__).resolve().parents[3]
BOOT = {
    "node": "core-derby-1",
    "role": "control",
    "serves": ["control_plane"],
    "ip": "10.1.0.40",
    "zone": "derby",
    "listen": {"control": "10.1.0.40:8169"},
    "internal_ports": [7640, 7655],
    "seeds": ["10.1.0.40:8169", "10.2.0.25:8169"],
    "bootstrap": True,
    "data_dir": "/data/control",
    "heartbeat_ms": 1500,
    "bounds": {"lease_ms": 3000, "thaw_ms": 300, "usage_window_s": 5, "later": True},
    "fault_tolerance": {"machines": 2},
    "cloud_api": {"address": "10.200.0.56:8161", "duties": ["metering"]},
    "not_known_yet": {"a": 1},
}


@pytest.fixture
def read(tmp_path, monkeypatch):
    def read_boot(boot: object):
        path = tmp_path / "boot.json"
        path.write_text(boot if isinstance(boot, str) else json.dumps(boot))
        monkeypatch.setenv(SETTINGS_FILE_VARIABLE, str(path))
        return read_settings()

    return read_boot


def test_settings_file_is_translated_into_settings(read) -> None:
    settings = read(BOOT)

    assert settings.daemon == "core-derby-1"
    assert settings.role == "control"
    assert settings.peer_address == "10.1.0.40:7640"
    assert settings.seeds == ("10.1.0.40:7640", "10.2.0.25:7640")
    assert settings.found
    assert settings.losses == 2
    assert settings.holder_gap_s == 3.3
    assert settings.announce_every_s == 1.5
    assert settings.usage_window_s == 5.0
    assert settings.platform_url == "http://10.200.0.56:8161"
    assert not settings.scales


def test_all_faults_are_reported_together(read) -> None:
    findings = read({**BOOT, "data_dir": None, "seeds": [], "listen": {}})

    assert len(findings) == 3
    assert all("boot.json" in str(finding) for finding in findings)


def test_unreadable_settings_file_is_reported_with_its_location(read, monkeypatch) -> None:
    assert "seeds" in str(read({**BOOT, "seeds": "10.1.0.40:8169"})[0])
    assert len(read("{")) == 1
    monkeypatch.setenv(SETTINGS_FILE_VARIABLE, "/nowhere/boot.json")
    assert "cannot be read" in str(read_settings()[0])
    monkeypatch.delenv(SETTINGS_FILE_VARIABLE)
    assert SETTINGS_FILE_VARIABLE in str(read_settings()[0])


def test_entry_requires_frontend_and_readiness_addresses(read) -> None:
    findings = read({**BOOT, "serves": ["edge"], "data_dir": None, "listen": {}})

    assert [finding.message.split()[0] for finding in findings] == [
        "listen.frontend",
        "listen.readiness",
    ]


def test_control_and_store_on_one_vm_use_different_ports_and_folders(read) -> None:
    # Both processes get the same IP, ports and disk. Without different ports and folders, the
    # second process could not listen, or would write to the log of the first.
    store_boot = {**BOOT, "role": "store", "serves": ["storage"], "listen": {}}

    control, store = read(BOOT), read(store_boot)

    assert store.peer_address == "10.1.0.40:7641"
    assert store.seeds == control.seeds
    assert control.metrics_listen != store.metrics_listen
    assert control.data_folder != store.data_folder


def test_deploy_file_gives_the_ports_at_which_metrics_are_served(read) -> None:
    deploy = tomllib.loads((REPOSITORY / "deploy" / "system.toml").read_text())
    boot = {**BOOT, "listen": {**BOOT["listen"], "frontend": "10.1.0.40:1", "readiness": "x:2"}}

    for role in deploy["roles"].values():
        settings = read({**boot, "serves": role["serves"]})
        port = settings.metrics_listen.rpartition(":")[2]
        assert role["metrics"] == f"{port}/metrics"


def test_control_runs_on_no_vm_that_an_operator_may_retire() -> None:
    """
    An operator retires a store, whose VM is removed; then other stores lose their disks.

    If a control replica ran on each of these VMs, the majority of the control log would be lost
    too: the newest acknowledged configuration could not be read back, and all later requests of
    callers would be refused.
    """
    deploy = tomllib.loads((REPOSITORY / "deploy" / "system.toml").read_text())
    class_by_served = {
        served: role["on"] for role in deploy["roles"].values() for served in role["serves"]
    }

    assert class_by_served["control_plane"] != class_by_served["storage"]


def test_tolerated_zones_and_bounds_of_places_are_translated(read) -> None:
    boot = {
        **BOOT,
        "zones": {"derby": "midlands", "stoke": "midlands", "york": "north"},
        "fault_tolerance": {"machines": 2, "zones": 1, "regions": 0},
        "bounds": {"evacuate_ms": 5000, "cold_overshoot": 1.5, "cold_slack": 5},
    }

    settings = read(boot)

    assert (settings.losses, settings.data_centre_losses, settings.voters) == (2, 1, 5)
    assert settings.most_voters_per_data_centre == 2
    assert settings.region_by_data_centre["york"] == "north"
    assert (settings.evacuate_s, settings.cold_overshoot, settings.cold_slack) == (5.0, 1.5, 5)


def test_loss_of_a_data_centre_alone_needs_three_voters_in_three_of_them(read) -> None:
    zones = {"derby": "midlands", "stoke": "midlands", "york": "north"}

    settings = read({**BOOT, "zones": zones, "fault_tolerance": {"machines": 0, "zones": 1}})
    assert (settings.voters, settings.most_voters_per_data_centre) == (3, 1)

    settings = read({**BOOT, "zones": zones, "fault_tolerance": {"machines": 2}})
    assert (settings.voters, settings.most_voters_per_data_centre) == (5, None)


def test_the_policy_of_the_deploy_file_is_part_of_the_settings(read, monkeypatch) -> None:
    monkeypatch.setenv(POLICY_VARIABLE, "shares, most_engines=40")

    assert read(BOOT).policy == LoadPolicy(shares=True, most_engines=40)


def test_a_misspelt_policy_prevents_the_start(read, monkeypatch) -> None:
    # The daemon would otherwise run without a decision that its operator relies on.
    monkeypatch.setenv(POLICY_VARIABLE, "share")

    assert [finding.place for finding in read(BOOT)] == [POLICY_VARIABLE]


def test_limits_of_the_process_give_the_size(read) -> None:
    limits = {"cpu_share": 0.5, "cores": 2, "memory_mb": 300, "max_fds": 4100, "link_mbps": 1000.0}

    # `cores` is the speed of the processor, so half of its time is one core's worth.
    assert read(BOOT | {"limits": limits}).size == EntrySize(1.0, 300.0, 4100, 1000.0)
    assert not read(BOOT).size.is_known()
