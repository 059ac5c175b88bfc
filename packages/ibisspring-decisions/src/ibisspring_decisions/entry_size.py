"""
What an entry can bear: its runs follow the size of its VM and its present load.

Load pattern: some entries have a third of the processor, memory and bandwidth of others, and VMs
turn slow at times. With the same number of streams on each, the small ones run out of memory,
descriptors or processor time while the large ones idle; an entry that is killed for its memory, or
too slow to read, loses all its runs at once.

The size gives the number of streams of an entry. Near a limit it accepts no further runs, and close
to one it gives runs back, so that other entries go on with their texts.
"""

from __future__ import annotations

from dataclasses import dataclass

# Most streams of an entry of any size: the loss of an entry interrupts all of its streams.
MAX_STREAMS = 96
# Parts of an entry's limits that its streams may use. The rest is for forwarded requests, jobs
# that are submitted, and the results that are read.
STREAMS_SHARE = 0.5
# What a stream takes: processor time for some 30 events in a second with their reports, memory for
# its text and buffers, descriptors, and bandwidth.
CORES_PER_STREAM = 0.01
MEMORY_MB_PER_STREAM = 0.5
DESCRIPTORS_PER_STREAM = 2
LINK_MBPS_PER_STREAM = 0.5
# Memory of an entry without streams, and descriptors that are kept for files.
BASE_MEMORY_MB = 40.0
RESERVED_DESCRIPTORS = 200
# Shares of the memory and of the descriptors in use from which an entry accepts no runs, below
# which it accepts runs again, and from which it gives runs back.
FULL_SHARE = 0.85
CALM_SHARE = 0.8
GIVE_BACK_SHARE = 0.93
# Seconds by which the event loop is late, on average over two measurements, at which half of the
# time is used up in which an event must be passed on. Each of the two must be late by half of this
# at least, since a single long step delays one of them; a much later one suffices alone.
LATE_S = 0.06
VERY_LATE_S = 0.4
# Seconds without a late measurement after which runs are accepted again.
CALM_S = 1.5
# Seconds between two times at which runs are given back, and the share given back each time: the
# effect is measured before more runs are interrupted.
GIVE_BACK_EVERY_S = 1.0
GIVE_BACK_PART = 0.25


@dataclass(frozen=True)
class EntrySize:
    """
    The limits of an entry's process, as its settings state them; 0 for an unknown limit.

    :param cores: processor time per second, in cores.
    :param memory_mb: memory in megabytes.
    :param descriptors: number of file descriptors.
    :param link_mbps: bandwidth of its link in megabits per second.
    """

    cores: float = 0.0
    memory_mb: float = 0.0
    descriptors: int = 0
    link_mbps: float = 0.0

    def is_known(self) -> bool:
        """Whether any limit is known."""
        return any((self.cores, self.memory_mb, self.descriptors, self.link_mbps))


@dataclass(frozen=True)
class EntryUsage:
    """
    What an entry uses at a moment.

    :param streams: number of runs that read the stream of an engine.
    :param memory_mb: resident memory in megabytes; 0 if unknown.
    :param descriptors: number of open file descriptors; 0 if unknown.
    :param late_s: seconds by which the event loop ran a due task late.
    """

    streams: int
    memory_mb: float = 0.0
    descriptors: int = 0
    late_s: float = 0.0


def stream_capacity(size: EntrySize) -> int:
    """Return the number of streams that an entry of a size bears, by its scarcest limit."""
    capacities = [float(MAX_STREAMS)]
    if size.cores:
        capacities.append(STREAMS_SHARE * size.cores / CORES_PER_STREAM)
    if size.memory_mb:
        free_mb = size.memory_mb - BASE_MEMORY_MB
        capacities.append(STREAMS_SHARE * free_mb / MEMORY_MB_PER_STREAM)
    if size.descriptors:
        free = size.descriptors - RESERVED_DESCRIPTORS
        capacities.append(STREAMS_SHARE * free / DESCRIPTORS_PER_STREAM)
    if size.link_mbps:
        capacities.append(STREAMS_SHARE * size.link_mbps / LINK_MBPS_PER_STREAM)
    return max(1, int(min(capacities)))


class StreamLimit:
    """
    How many further streams an entry accepts, from its size and its measured usage.

    :param capacity: number of streams that the entry bears.
    :param near: limit to which the entry is near; empty for none.
    """

    def __init__(self, size: EntrySize) -> None:
        self._size = size
        self.capacity = stream_capacity(size)
        self.near = ""
        self._previous_late_s = 0.0
        self._late_until = float("-inf")
        self._gave_back_at = float("-inf")

    def measure(self, usage: EntryUsage, now: float) -> int:
        """
        Take a measurement, and decide whether the entry is near a limit.

        :param now: seconds on a steady clock.
        :return: number of streams to give back now.
        """
        two = (self._previous_late_s, usage.late_s)
        is_late = min(two) >= 0.5 * LATE_S and sum(two) >= 2 * LATE_S
        if is_late or usage.late_s >= VERY_LATE_S:
            self._late_until = now + CALM_S
        self._previous_late_s = usage.late_s
        memory = self._memory_share(usage)
        descriptors = self._descriptor_share(usage)
        self.near = self._near_limit(memory, descriptors, now)
        if max(memory, descriptors) < GIVE_BACK_SHARE or not usage.streams:
            return 0
        if now - self._gave_back_at < GIVE_BACK_EVERY_S:
            return 0
        self._gave_back_at = now
        return max(1, int(GIVE_BACK_PART * usage.streams))

    def free(self, streams: int) -> int:
        """
        Return the number of further streams that the entry accepts.

        :param streams: number of streams that it has.
        """
        return 0 if self.near else max(0, self.capacity - streams)

    def _near_limit(self, memory: float, descriptors: float, now: float) -> str:
        # Hysteresis: otherwise each run that ends near the limit would let another one in.
        if memory >= (CALM_SHARE if self.near == "memory" else FULL_SHARE):
            return "memory"
        if descriptors >= (CALM_SHARE if self.near == "descriptors" else FULL_SHARE):
            return "descriptors"
        return "processor" if now < self._late_until else ""

    def _memory_share(self, usage: EntryUsage) -> float:
        return usage.memory_mb / self._size.memory_mb if self._size.memory_mb else 0.0

    def _descriptor_share(self, usage: EntryUsage) -> float:
        if not self._size.descriptors:
            return 0.0
        return usage.descriptors / max(1, self._size.descriptors - RESERVED_DESCRIPTORS)


__all__ = ["EntrySize", "EntryUsage", "StreamLimit", "stream_capacity"]
