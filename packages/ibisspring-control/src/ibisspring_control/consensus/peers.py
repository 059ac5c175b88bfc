"""The connections to all other control daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisspring_control.consensus.peer import Peer

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisspring_control.consensus.messages import Message, ReplicaId
    from ibisspring_control.consensus.peer import Identity, ReadChunk
    from ibisspring_core.counters import Counters
    from ibisspring_core.settings import Settings


class Peers:
    """One peer for each other daemon in `control_addresses`."""

    def __init__(self, peer_by_daemon: dict[str, Peer]) -> None:
        self._peer_by_daemon = peer_by_daemon

    @classmethod
    def from_config(
        cls,
        settings: Settings,
        own: ReplicaId,
        read_chunk: ReadChunk,
        on_identity: Callable[[Identity], None],
        counters: Counters,
    ) -> Peers:
        """
        Build the peers.

        :param settings: addresses as seen from this VM.
        :param own: this replica.
        :param read_chunk: reads a piece of a snapshot when its chunk is sent.
        :param on_identity: told who answered, after each call.
        :return: the peers, not started.
        """
        # Half of the silence that starts an election: a silent connection is left in time.
        deadline_s = settings.control.election_timeout_s / 2
        return cls(
            {
                daemon: Peer(own, daemon, address, deadline_s, read_chunk, on_identity, counters)
                for daemon, address in settings.control_addresses.items()
                if daemon != own.daemon
            }
        )

    def start(self) -> None:
        """Start a task for each peer."""
        for peer in self._peer_by_daemon.values():
            peer.start()

    async def stop(self) -> None:
        """Send what waits and end the tasks."""
        for peer in self._peer_by_daemon.values():
            await peer.stop()

    def send(self, target: ReplicaId, message: Message) -> None:
        """Queue a message; one to a daemon without an address is lost."""
        peer = self._peer_by_daemon.get(target.daemon)
        if peer is not None:
            peer.send(target, message)


__all__ = ["Peers"]
