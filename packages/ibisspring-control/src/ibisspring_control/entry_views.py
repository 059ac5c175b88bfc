"""The views that the leader sends to entries: the replicated state and the live entries."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import xxhash

from ibisspring_core.messages.codec import encode
from ibisspring_core.messages.views import PeerRecord

if TYPE_CHECKING:
    from ibisspring_control.entry_lease import EntryLease
    from ibisspring_control.state import StateMachine
    from ibisspring_core.pb import control_pb2


class EntryViews:
    """The newest view (rules, versions, drains, live entries), encoded once for all entries."""

    def __init__(self, state: StateMachine, usage_window_s: float) -> None:
        self.peers_digest = 0
        self.peers_complete = False
        self._state = state
        self._usage_window_s = usage_window_s
        self._peer_by_daemon: dict[str, PeerRecord] = {}
        self._encoded_key: tuple[int, int] = (-1, 0)
        self._encoded = b""

    def set_peers(self, live: tuple[EntryLease, ...], complete: bool) -> None:
        """
        Replace the live entries in the view.

        :param live: leases of the live entries, sorted by daemon and incarnation.
        :param complete: True if only the entries in `live` can hold a lease, because the leases
            that earlier leaders granted have lapsed.
        """
        self._peer_by_daemon = {
            lease.daemon: PeerRecord(
                lease.daemon, lease.incarnation, lease.data_centre, lease.peer_address
            )
            for lease in live
        }
        self.peers_complete = complete
        digested = encode((list(self._peer_by_daemon.values()), complete))
        self.peers_digest = xxhash.xxh3_64_intdigest(digested)

    def is_current(self, request: control_pb2.RenewRequest) -> bool:
        """
        Return whether an entry acts on the newest view.

        :param request: renewal with the index of the entry's view and the digest of its peers.
        """
        return (request.view_index, request.peers_digest) == self._key()

    def encoded(self) -> bytes:
        """
        Return the newest view for the answer to a renewal; it is encoded once after each change.

        :return: an `EntryView`, encoded.
        """
        if self._encoded_key != self._key():
            view = dataclasses.replace(
                self._state.entry_view(),
                peer_by_daemon=self._peer_by_daemon,
                peers_complete=self.peers_complete,
                usage_window_s=self._usage_window_s,
            )
            self._encoded = encode(view)
            self._encoded_key = self._key()
        return self._encoded

    def _key(self) -> tuple[int, int]:
        return (self._state.view_index, self.peers_digest)


__all__ = ["EntryViews"]
