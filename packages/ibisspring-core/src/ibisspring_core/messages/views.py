"""What the leader hands to entries with a lease renewal."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True)
class PeerRecord:
    """
    A live entry.

    :param daemon: its id.
    :param incarnation: its start.
    :param data_centre: where it stands.
    :param peer_address: IP:port of its gRPC for entries.
    """

    daemon: str
    incarnation: int
    data_centre: str
    peer_address: str


@dataclass(frozen=True)
class EntryView:
    """
    The part of the replicated state that entries act on.

    :param index: log index of the view; it only rises.
    :param rules_version: version of the rules in force.
    :param rules_text: the rules file.
    :param version_by_trainer: each trainer's newest weight version.
    :param draining: endpoints that get no new work.
    :param peer_by_daemon: live entries.
    :param peers_complete: False while a new leader may not have heard of all live entries.
    :param usage_window_s: seconds that one usage window spans, from the leader's settings.
    """

    index: int
    rules_version: int
    rules_text: str
    version_by_trainer: dict[str, int] = field(default_factory=dict)
    draining: tuple[str, ...] = ()
    peer_by_daemon: dict[str, PeerRecord] = field(default_factory=dict)
    peers_complete: bool = True
    usage_window_s: float = 60.0


__all__ = ["EntryView", "PeerRecord"]
