from __future__ import annotations

from ibisspring_core.clock import boot_now


def test_the_lease_clock_never_runs_back() -> None:
    readings = [boot_now() for _ in range(100)]

    assert readings == sorted(readings)
