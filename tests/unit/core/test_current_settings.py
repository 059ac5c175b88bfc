from __future__ import annotations

import pytest

from ibisspring_core.errors import Finding
from ibisspring_core.settings.current import CurrentSettings
from ibisspring_core.settings.vm import ENTRY, VmSettings


def settings(*seeds: str, **changes) -> VmSettings:
    return VmSettings("e1", ENTRY, "derby", "10.0.0.1:1", seeds, **changes)


@pytest.fixture
def logged(monkeypatch) -> list[dict]:
    lines: list[dict] = []

    def log(kind: str, **fields) -> None:
        lines.append({"kind": kind, **fields})

    monkeypatch.setattr("ibisspring_core.settings.current.eliot.log_message", log)
    return lines


def test_changed_seeds_take_effect_immediately(logged) -> None:
    # All control VMs that a daemon knows have been replaced. If new seeds took effect only at the
    # next start, the daemon would not reach the control daemons before.
    current = CurrentSettings(settings("a"), lambda: settings("b", "c", losses=2))

    current.reload()
    current.reload()

    assert current.seeds == ("b", "c")
    (line,) = logged
    assert line == {"kind": "settings:changed", "seeds": ["b", "c"], "at_next_start": ["losses"]}


def test_unreadable_file_changes_no_settings(logged) -> None:
    # The file is read while it is being written, and its first half contains no seeds. If this half
    # were applied, the daemon would lose the addresses of the control daemons.
    reads = [(Finding("boot.json", 0, 0, "cut short"),)] * 2
    reads.append(settings("b"))
    current = CurrentSettings(settings("a"), lambda: reads.pop(0))

    current.reload()
    current.reload()
    assert current.seeds == ("a",)
    current.reload()

    assert current.seeds == ("b",)
    assert [line["kind"] for line in logged] == ["settings:unreadable", "settings:changed"]
