"""Configuration of one replica of a replicated log: its files, addresses, times and sizes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from ibisspring_consensus.state import CoreConfig

if TYPE_CHECKING:
    from ibisspring_core.settings import Settings

CONSENSUS_FOLDER = "consensus"
SNAPSHOT_EVERY = 1000

AddressOf = Callable[[str], str | None]


@dataclass(frozen=True)
class ReplicaConfig:
    """
    Configuration of one replica of one replicated log.

    :param daemon: id of the daemon that runs the replica.
    :param folder: folder of the replica's files; created at its first use.
    :param core: times and sizes of the consensus core, such as the election timeout.
    :param address_of: returns the IP:port at which a daemon, given by its id, can be reached; None
        if its address is not known.
    :param bootstrap_daemons: ids of the daemons that form the cluster when an operator bootstraps
        it.
    :param snapshot_every: number of log entries applied since the last snapshot after which the
        replica takes the next one.
    :param state: name of the daemon's service to which committed commands are applied (the state
        machine).
    :param process_started_s: start of this process, in seconds on the lease clock; None for the
        time at which the service starts. A restarted replica grants no vote for one election
        timeout after this time: the previous process may have acknowledged a leader's heartbeat
        until it ended, but not later.
    """

    daemon: str
    folder: Path
    core: CoreConfig
    address_of: AddressOf
    bootstrap_daemons: tuple[str, ...] = ()
    snapshot_every: int = SNAPSHOT_EVERY
    state: str = "state"
    process_started_s: float | None = None

    @classmethod
    def from_config(cls, settings: Settings) -> ReplicaConfig:
        """
        Build the configuration of a control daemon's replica from the daemon's settings.

        :param settings: validated settings of a daemon with the control role.
        """
        return cls(
            daemon=settings.daemon,
            folder=Path(settings.data_folder) / CONSENSUS_FOLDER,
            core=CoreConfig.from_config(settings.control),
            address_of=settings.control_addresses.get,
            bootstrap_daemons=tuple(sorted(settings.control_addresses)),
            snapshot_every=settings.control.snapshot_every,
        )


__all__ = ["CONSENSUS_FOLDER", "SNAPSHOT_EVERY", "AddressOf", "ReplicaConfig"]
