"""One entry's lease, as the leader knows it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class EntryLease:
    """
    One start of an entry, as the leader knows it.

    :param view_index: index of the view that it acts on.
    :param lapses_s: boot-clock second at which its lease has lapsed for sure.
    :param asked_s: when it was last asked for all endpoints.
    """

    daemon: str
    incarnation: int
    data_centre: str
    peer_address: str
    view_index: int
    rules_version: int
    lapses_s: float
    asked_s: float = 0.0


__all__ = ["EntryLease"]
