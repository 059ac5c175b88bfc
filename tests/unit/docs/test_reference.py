"""Checks that the reference pages document every setting, counter, histogram and error reason."""

from __future__ import annotations

import dataclasses
import re
from pathlib import Path

import pytest

from ibisspring_core.errors import Reason
from ibisspring_core.settings import ControlSettings, EntrySettings, Settings
from ibisspring_core.settings.vm import VmSettings

REPOSITORY = Path(__file__).resolve().parents[3]
REFERENCE = REPOSITORY / "docs" / "reference"
COUNTER_CALL = re.compile(r'counters\.add\(\s*f?"([^"{]+)')
HISTOGRAM_CALL = re.compile(r'counters\.observe\(\s*"([^"]+)"')


@pytest.mark.parametrize("section", [Settings, ControlSettings, EntrySettings])
def test_every_setting_is_documented(section: type) -> None:
    page = (REFERENCE / "settings.md").read_text(encoding="utf-8")
    sections = {"control", "entry", "statsd"}

    names = {field.name for field in dataclasses.fields(section)} - sections

    assert {name for name in names if f"`{name}`" not in page} == set()


def test_every_vm_setting_is_documented() -> None:
    page = (REFERENCE / "vm-settings.md").read_text(encoding="utf-8")

    names = {field.name for field in dataclasses.fields(VmSettings)}

    assert {name for name in names if f"`{name}`" not in page} == set()


def test_every_counter_is_documented() -> None:
    page = (REFERENCE / "counters.md").read_text(encoding="utf-8")
    names = set()
    for path in (REPOSITORY / "packages").rglob("*.py"):
        names.update(COUNTER_CALL.findall(path.read_text(encoding="utf-8")))

    assert len(names) > 20
    assert {name for name in names if f"`{name}" not in page} == set()


def test_every_histogram_is_documented() -> None:
    page = (REFERENCE / "counters.md").read_text(encoding="utf-8")
    names = set()
    for path in (REPOSITORY / "packages").rglob("*.py"):
        names.update(HISTOGRAM_CALL.findall(path.read_text(encoding="utf-8")))

    assert len(names) > 4
    assert {name for name in names if f"`{name}`" not in page} == set()


def test_every_counter_row_has_an_action() -> None:
    page = (REFERENCE / "counters.md").read_text(encoding="utf-8")
    rows = [line for line in page.splitlines() if line.startswith("| `")]

    assert len(rows) > 30
    assert [row for row in rows if len([cell for cell in row.split("|") if cell.strip()]) < 3] == []


def test_every_reason_is_documented() -> None:
    page = (REFERENCE / "api-errors.md").read_text(encoding="utf-8")

    assert {reason.value for reason in Reason if f"`{reason.value}`" not in page} == set()
