"""An entry's lease as recorded by the leader."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class EntryLease:
    """
    Lease of one start of an entry, as recorded by the leader.

    :param view_index: index of the view that the entry acts on.
    :param rules_version: version of the rules that the entry acts on.
    :param lapses_s: boot-clock seconds of the leader at which the lease has lapsed even if the
        entry's clock is slower.
    :param all_requested_s: boot-clock seconds at which the leader last requested all endpoints from
        the entry.
    """

    daemon: str
    incarnation: int
    data_centre: str
    peer_address: str
    view_index: int
    rules_version: int
    lapses_s: float
    all_requested_s: float = 0.0


__all__ = ["EntryLease"]
