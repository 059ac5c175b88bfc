"""The incarnation number of this process, which is higher after each start of the daemon."""

from __future__ import annotations

import functools
import time


@functools.cache
def this_incarnation() -> int:
    """
    Return the incarnation number of this start of the daemon; all later calls return the same.

    An entry VM may have no disk on which starts could be counted, so the number is the wall-clock
    time of the first call. If the clock is set back between two starts, the later start has the
    lower number and counts as the earlier one; VMs must therefore synchronise their clocks.

    :return: nanoseconds from 1970 to the first call.
    """
    return time.time_ns()


__all__ = ["this_incarnation"]
