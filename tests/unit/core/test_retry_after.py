from __future__ import annotations

import pytest

from ibisspring_core import directory_view
from ibisspring_core.directory_view import MIN_RETRY_AFTER_S, TABLE_EXPECTED_S, DirectoryView
from ibisspring_core.settings.vm import ENTRY, VmSettings

STARTED_S = 500.0


@pytest.mark.parametrize(
    ("up_s", "expected_s"),
    [
        (0.4, TABLE_EXPECTED_S - 0.4),
        (0.8, TABLE_EXPECTED_S - 0.8),
        (1.0, MIN_RETRY_AFTER_S),
        (60.0, MIN_RETRY_AFTER_S),
    ],
)
def test_retry_after_lasts_until_a_table_is_expected_after_a_restart(
    monkeypatch, up_s, expected_s
) -> None:
    # All processes restart within a second. An entry without a route table refuses a lookup. If its
    # Retry-After were too short, the caller's only retry would be refused as well.
    monkeypatch.setattr(directory_view, "PROCESS_STARTED_S", STARTED_S)
    monkeypatch.setattr(directory_view, "boot_now", lambda: STARTED_S + up_s)
    view = DirectoryView.from_config(VmSettings("e1", ENTRY, "derby", "10.0.0.1:1", ()))

    assert view.retry_after_s() == pytest.approx(max(expected_s, MIN_RETRY_AFTER_S))
