"""The replicated state that the leader sends to an entry with each lease renewal."""

from __future__ import annotations

from dataclasses import dataclass, field

from ibisspring_core.messages.crash_suspects import SuspectSummary


@dataclass(frozen=True)
class PeerRecord:
    """
    An entry whose lease is valid, with the address at which other entries call it.

    :param daemon: id of the entry.
    :param incarnation: number of its start.
    :param data_centre: data centre of its VM.
    :param peer_address: IP:port of its gRPC server for other entries.
    """

    daemon: str
    incarnation: int
    data_centre: str
    peer_address: str


@dataclass(frozen=True)
class EntryView:
    """
    The part of the replicated state that entries use, at one log index.

    :param index: log index of the view; it never decreases.
    :param rules_version: version of the rules in force.
    :param rules_text: text of the rules file.
    :param version_by_trainer: newest weight version by trainer.
    :param draining: ids of endpoints that get no new work.
    :param peer_by_daemon: entries with a valid lease, by id.
    :param peers_complete: False while a new leader may not have received a renewal from every entry
        with a valid lease.
    :param usage_window_s: length of a usage window in seconds, from the leader's settings.
    :param suspects: requests under which endpoints ended, by identity.
    :param suspect_change: number of the newest change of the suspects.
    """

    index: int
    rules_version: int
    rules_text: str
    version_by_trainer: dict[str, int] = field(default_factory=dict)
    draining: tuple[str, ...] = ()
    peer_by_daemon: dict[str, PeerRecord] = field(default_factory=dict)
    peers_complete: bool = True
    usage_window_s: float = 60.0
    suspects: dict[str, SuspectSummary] = field(default_factory=dict)
    suspect_change: int = 0


__all__ = ["EntryView", "PeerRecord"]
