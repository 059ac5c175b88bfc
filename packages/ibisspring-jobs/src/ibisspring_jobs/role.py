"""The services of a daemon in the store role, which keeps a replica of the jobs' log."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from ibisspring_consensus import ConsensusNode, ReplicaConfig
from ibisspring_consensus.config import CONSENSUS_FOLDER
from ibisspring_consensus.servicer import ConsensusServicer
from ibisspring_consensus.state import LOW_LATENCY_CONFIG
from ibisspring_core.clock import PROCESS_STARTED_S
from ibisspring_core.directory_view import DirectoryView
from ibisspring_jobs.membership import JobMembership
from ibisspring_jobs.operator_calls import OperatorCalls
from ibisspring_jobs.service import Jobs
from ibisspring_jobs.state import JobsState
from ibisspring_jobs.status import StatusService
from ibisspring_jobs.wait_log import WaitLog

if TYPE_CHECKING:
    from ibisspring_core.kernel import Service
    from ibisspring_core.settings.vm import VmSettings


def build_services(settings: VmSettings) -> tuple[Service, ...]:
    """
    Build the services of a store from its settings, in the order in which they are started.

    :param settings: the store's settings, already validated.
    """
    replica = ReplicaConfig(
        daemon=settings.peer_address,
        folder=Path(settings.data_folder) / CONSENSUS_FOLDER,
        core=LOW_LATENCY_CONFIG,
        address_of=lambda daemon: daemon,
        state="jobs_state",
        process_started_s=PROCESS_STARTED_S,
    )
    return (
        JobsState(),
        ConsensusNode(replica),
        ConsensusServicer(),
        DirectoryView.from_config(settings),
        Jobs.from_config(settings),
        JobMembership.from_config(settings),
        StatusService.from_config(settings),
        OperatorCalls.from_config(settings),
        WaitLog.from_config(settings),
    )


__all__ = ["build_services"]
