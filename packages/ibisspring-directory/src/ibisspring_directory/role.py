"""
The services of a daemon in the control role, which keeps a replica of the directory's log.

The daemon finds the other control daemons by its seeds: the addresses of the first ones.
"""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from ibisspring_consensus import ConsensusNode, ReplicaConfig
from ibisspring_consensus.config import CONSENSUS_FOLDER
from ibisspring_consensus.servicer import ConsensusServicer
from ibisspring_consensus.state import LOW_LATENCY_CONFIG
from ibisspring_core.clock import PROCESS_STARTED_S
from ibisspring_core.connections import Connections
from ibisspring_directory.duties import Duties
from ibisspring_directory.engine_loads import EngineLoads
from ibisspring_directory.fleet import Fleet
from ibisspring_directory.founding import LogBootstrap
from ibisspring_directory.membership import ControlMembership
from ibisspring_directory.service import Directory
from ibisspring_directory.state import DirectoryState
from ibisspring_directory.status import StatusService
from ibisspring_directory.usage_reports import UsageReports

if TYPE_CHECKING:
    from ibisspring_core.kernel import Service
    from ibisspring_core.settings.vm import VmSettings


def build_services(settings: VmSettings) -> tuple[Service, ...]:
    """
    Build the services of a control VM from its settings, in the order in which they are started.

    :param settings: the VM's settings, already validated.
    """
    replica = ReplicaConfig(
        daemon=settings.peer_address,
        folder=Path(settings.data_folder) / CONSENSUS_FOLDER,
        core=LOW_LATENCY_CONFIG,
        address_of=lambda daemon: daemon,
        bootstrap_daemons=tuple(sorted(settings.seeds)),
        process_started_s=PROCESS_STARTED_S,
    )
    return (
        DirectoryState(),
        ConsensusNode(replica),
        ConsensusServicer(),
        Directory.from_config(settings),
        LogBootstrap.from_config(settings),
        ControlMembership.from_config(settings),
        Duties.from_config(settings),
        UsageReports.from_config(settings),
        Connections.from_config(settings),
        EngineLoads.from_config(settings),
        Fleet.from_config(settings),
        StatusService.from_config(settings),
    )


__all__ = ["build_services"]
