"""
What an entry can bear: its runs, relayed requests and bodies follow the size of its VM.

Load pattern: some entries have a third of the processor, memory and bandwidth of others. With the
same number of streams on each, the small ones run out of memory, descriptors or processor time
while the large ones idle.
"""

from __future__ import annotations

from dataclasses import dataclass


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


__all__ = ["EntrySize"]
