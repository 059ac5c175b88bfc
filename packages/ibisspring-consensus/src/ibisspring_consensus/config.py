"""Configuration of one replica."""

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

    :param daemon: the daemon's id.
    :param folder: folder of the replica's files; created at its first use.
    :param core: times and sizes.
    :param address_of: returns IP:port for a daemon id; None for a daemon without a known address.
    :param bootstrap_daemons: ids of the daemons that form the cluster when an operator bootstraps
        it.
    :param snapshot_every: number of log entries between snapshots.
    :param state: name of the service that is the state machine.
    :param process_started_s: start of this process on the lease clock; None for the time at which
        the service starts. The vote-withholding time after a restart counts from it, since the
        previous process cannot have acknowledged a heartbeat later.
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
        Build the configuration of a control daemon from its settings.

        :param settings: checked settings of a daemon with the control role.
        :return: the replica's configuration.
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
