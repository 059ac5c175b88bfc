"""The service `entry_limits`: measures this entry, and limits its runs to what its VM bears."""

from __future__ import annotations

import os
from pathlib import Path
from typing import TYPE_CHECKING

import eliot

from ibisspring_core.clock import boot_now
from ibisspring_decisions.entry_size import EntryUsage, StreamLimit

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisspring_core.kernel import Kernel
    from ibisspring_core.settings.vm import VmSettings

# Interval of the measurements: two late ones, and a call for work that the leader holds, take less
# than a second together.
MEASURE_INTERVAL_S = 0.2
# Memory and descriptors are read at every second measurement only.
MEASUREMENTS_PER_READING = 2
STATM = Path("/proc/self/statm")
DESCRIPTORS = "/proc/self/fd"
BYTES_PER_MB = 1024 * 1024


class EntryLimits:
    """
    Measures memory, descriptors and the lateness of the event loop, and applies `StreamLimit`.

    The runner sets `streams` and `give_back`.

    :param streams: returns the number of runs that read the stream of an engine.
    :param give_back: stops a number of runs, so that other entries go on with their texts.
    """

    name = "entry_limits"

    def __init__(self, settings: VmSettings) -> None:
        self._size = settings.size
        self._limit = StreamLimit(settings.size)
        self._due_at = boot_now()
        self._measurements = 0
        self._memory_mb = 0.0
        self._descriptors = 0
        self.streams: Callable[[], int] = lambda: 0
        self.give_back: Callable[[int], None] = lambda count: None

    @classmethod
    def from_config(cls, settings: VmSettings) -> EntryLimits:
        """
        Build the service of an entry.

        :param settings: validated settings of the entry, with the size of its VM.
        """
        return cls(settings)

    async def start(self, kernel: Kernel) -> None:
        """Start the periodic measurements."""
        self._counters = kernel.find("counters")
        self._due_at = boot_now() + MEASURE_INTERVAL_S
        self._timer = kernel.find("timer").subscribe(
            "entry_limits", MEASURE_INTERVAL_S, self._measure
        )

    async def stop(self) -> None:
        """Stop the measurements."""
        self._timer.cancel()

    @property
    def capacity(self) -> int:
        """Number of streams that an entry of this size bears."""
        return self._limit.capacity

    def free(self) -> int:
        """Return the number of further runs that this entry accepts now."""
        return self._limit.free(self.streams())

    async def _measure(self, now: float) -> None:
        measured_at = boot_now()
        late_s = max(0.0, measured_at - self._due_at)
        if self._measurements % MEASUREMENTS_PER_READING == 0:
            self._memory_mb = resident_mb()
            self._descriptors = open_descriptors()
        self._measurements += 1
        usage = EntryUsage(self.streams(), self._memory_mb, self._descriptors, late_s)
        was_near = self._limit.near
        count = self._limit.measure(usage, measured_at)
        if self._limit.near != was_near or count:
            self._report(usage, count)
        if count:
            self.give_back(count)
        self._due_at = boot_now() + MEASURE_INTERVAL_S

    def _report(self, usage: EntryUsage, count: int) -> None:
        if self._limit.near:
            self._counters.add("runner.near_limit")
        eliot.log_message(
            "runner:near_limit",
            near=self._limit.near,
            streams=usage.streams,
            capacity=self._limit.capacity,
            given_back=count,
            memory_mb=round(usage.memory_mb, 1),
            most_memory_mb=self._size.memory_mb,
            descriptors=usage.descriptors,
            most_descriptors=self._size.descriptors,
            late_s=round(usage.late_s, 3),
        )


def resident_mb() -> float:
    """Return the resident memory of this process in megabytes; 0.0 if it cannot be read."""
    try:
        pages = int(STATM.read_text(encoding="ascii").split()[1])
    except (OSError, ValueError, IndexError):
        return 0.0
    return pages * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MB


def open_descriptors() -> int:
    """Return the number of open descriptors of this process; 0 if it cannot be read."""
    try:
        return len(os.listdir(DESCRIPTORS))
    except OSError:
        return 0


__all__ = ["EntryLimits", "open_descriptors", "resident_mb"]
