"""The boot clock, which times leases, and the wall clock."""

from __future__ import annotations

import time


def boot_now() -> float:
    """
    Read a monotonic clock that also counts the time for which the VM was suspended.

    CLOCK_MONOTONIC stops during suspension: a lease that is timed by it would still be valid for
    the resumed process after it has lapsed in real time. CLOCK_BOOTTIME continues, so that the
    lease has lapsed when the process resumes.

    :return: seconds since boot.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


# Approximate start time of this process, in seconds on the boot clock: daemons import this module
# before their other modules.
PROCESS_STARTED_S = boot_now()


def wall_now() -> float:
    """
    Read the wall clock; only for timestamps for humans or other systems, never for leases.

    :return: seconds since 1970.
    """
    return time.time()


__all__ = ["PROCESS_STARTED_S", "boot_now", "wall_now"]
