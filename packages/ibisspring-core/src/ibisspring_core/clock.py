"""The clocks that the daemons use."""

from __future__ import annotations

import time


def boot_now() -> float:
    """
    Read a monotonic clock that also counts the time the VM was suspended.

    A lease timed by CLOCK_MONOTONIC would outlive its real duration on a VM that was suspended: the
    process would
    wake up and believe that it still is in charge. CLOCK_BOOTTIME goes on counting, so the lease
    has lapsed on waking.

    :return: seconds since boot.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


# About when this process started: daemons import this module before all others of theirs.
PROCESS_STARTED_S = boot_now()


def wall_now() -> float:
    """
    Read the wall clock; only for stamps that people or other systems read, never for leases.

    :return: seconds since the epoch.
    """
    return time.time()


__all__ = ["PROCESS_STARTED_S", "boot_now", "wall_now"]
