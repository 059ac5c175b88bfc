"""The connections to the other daemons of the cluster."""

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
    """One `Peer` for each daemon to which a message was sent."""

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
        Build the peers.

        :param config: configuration with the addresses as seen from this VM.
        :param own: this replica.
        :param read_chunk: reads a part of a snapshot when its chunk is sent.
        :param on_identity: called with the identity of the replica that answered a call.
        :param counters: counts sent bytes and failed calls.
        :return: the peers; each starts with the first message to it.
        """
        # Half of the election timeout, so that a connection that does not respond is replaced
        # before a follower starts an election.
        deadline_s = config.core.election_timeout_s / 2

        def make_peer(daemon: str, address: str) -> Peer:
            return Peer(own, daemon, address, deadline_s, read_chunk, on_identity, counters)

        return cls(config.address_of, make_peer)

    async def stop(self) -> None:
        """Send all outboxes and end the tasks."""
        for peer in self._peer_by_daemon.values():
            await peer.stop()

    def send(self, target: ReplicaId, message: Message) -> None:
        """Queue a message; a message to a daemon without a known address is dropped."""
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
