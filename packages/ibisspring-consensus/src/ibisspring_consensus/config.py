"""What one replica is told about itself and its surroundings."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from ibisspring_consensus.state import CoreConfig

if TYPE_CHECKING:
    from ibisspring_core.settings import Settings

FOLDER = "consensus"
SNAPSHOT_EVERY = 1000

AddressOf = Callable[[str], str | None]


@dataclass(frozen=True)
class ReplicaConfig:
    """
    One replica of one replicated log.

    :param daemon: the daemon's id.
    :param folder: where the replica keeps its files; made at the first use.
    :param core: times and sizes.
    :param address_of: IP:port by daemon id; None for a daemon that cannot be reached.
    :param founders: daemons that found the cluster together when an operator asks for it.
    :param snapshot_every: log entries between snapshots.
    :param state: name of the service that is the state machine.
    :param process_started_s: when this process started, on the lease clock; None for now. Whatever
        the process before it promised was promised by then.
    """

    daemon: str
    folder: Path
    core: CoreConfig
    address_of: AddressOf
    founders: tuple[str, ...] = ()
    snapshot_every: int = SNAPSHOT_EVERY
    state: str = "state"
    process_started_s: float | None = None

    @classmethod
    def from_config(cls, settings: Settings) -> ReplicaConfig:
        """
        Take a control daemon's part of its settings.

        :param settings: checked settings of a daemon with the control role.
        :return: the replica's configuration.
        """
        return cls(
            daemon=settings.daemon,
            folder=Path(settings.data_folder) / FOLDER,
            core=CoreConfig.from_config(settings.control),
            address_of=settings.control_addresses.get,
            founders=tuple(sorted(settings.control_addresses)),
            snapshot_every=settings.control.snapshot_every,
        )


__all__ = ["FOLDER", "SNAPSHOT_EVERY", "AddressOf", "ReplicaConfig"]
