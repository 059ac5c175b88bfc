"""The connections of one replica to the daemons of the other replicas."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisspring_consensus.peer import Peer

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisspring_consensus.config import AddressOf, ReplicaConfig
    from ibisspring_consensus.messages import Message, ReplicaId
    from ibisspring_consensus.peer import Identity, ReadChunk
    from ibisspring_core.counters import Counters


class Peers:
    """Holds one `Peer` (outbox and connection) for each daemon to which a message was sent."""

    def __init__(self, address_of: AddressOf, make_peer: Callable[[str, str], Peer]) -> None:
        self._address_of = address_of
        self._make_peer = make_peer
        self._peer_by_daemon: dict[str, Peer] = {}

    @classmethod
    def from_config(
        cls,
        config: ReplicaConfig,
        own: ReplicaId,
        read_chunk: ReadChunk,
        on_identity: Callable[[Identity], None],
        counters: Counters,
    ) -> Peers:
        """
        Build an empty set of peers; a daemon's peer starts with the first message to the daemon.

        :param config: contains the addresses of the daemons as seen from this VM, and the election
            timeout.
        :param own: this replica, the sender of the messages.
        :param read_chunk: reads a part of a stored snapshot when its chunk is sent.
        :param on_identity: called with the identity of the replica that answered a call.
        :param counters: receive the number of sent bytes and of failed calls.
        """
        # Time limit of each call: half of the election timeout, so that a connection that does not
        # respond is replaced before a follower starts an election.
        deadline_s = config.core.election_timeout_s / 2

        def make_peer(daemon: str, address: str) -> Peer:
            return Peer(own, daemon, address, deadline_s, read_chunk, on_identity, counters)

        return cls(config.address_of, make_peer)

    async def stop(self) -> None:
        """Stop each peer after it has sent its queued messages or its call deadline has passed."""
        for peer in self._peer_by_daemon.values():
            await peer.stop()

    def check_connections(self) -> None:
        """Check the connections to all other daemons, and replace those that do not work."""
        for peer in self._peer_by_daemon.values():
            peer.check_connection()

    def send(self, target: ReplicaId, message: Message) -> None:
        """Queue a message to a replica; it is dropped if its daemon's address is not known."""
        peer = self._peer_by_daemon.get(target.daemon)
        if peer is None:
            address = self._address_of(target.daemon)
            if address is None:
                return
            peer = self._make_peer(target.daemon, address)
            self._peer_by_daemon[target.daemon] = peer
            peer.start()
        peer.send(target, message)


__all__ = ["Peers"]
