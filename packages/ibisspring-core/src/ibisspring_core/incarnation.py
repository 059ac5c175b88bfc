"""The number of this process's start."""

from __future__ import annotations

import functools
import time


@functools.cache
def this_incarnation() -> int:
    """
    Number this start of the daemon, the same for all of its parts.

    An entry VM may have no disk to count on, so the wall clock is read once; a clock that was set
    back between two starts of a daemon would make the later start look like the earlier one, which
    is why VMs must keep time.

    :return: nanoseconds since the epoch at the first call.
    """
    return time.time_ns()


__all__ = ["this_incarnation"]
