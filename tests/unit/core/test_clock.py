from __future__ import annotations

from ibisspring_core.clock import boot_now


def test_lease_clock_is_monotonic() -> None:
    readings = [boot_now() for _ in range(100)]

    assert readings == sorted(readings)
