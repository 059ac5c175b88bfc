"""Builds the services that a daemon with the control role runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisspring_consensus import ConsensusNode
from ibisspring_control.engine_orders import EngineOrders
from ibisspring_control.entry_leases import EntryLeases
from ibisspring_control.leader_duties import LeaderDuties
from ibisspring_control.rpc.server import ControlRpc
from ibisspring_control.state import StateMachine

if TYPE_CHECKING:
    from ibisspring_core.kernel import Service
    from ibisspring_core.settings import Settings


def build_services(settings: Settings) -> tuple[Service, ...]:
    """
    Build the services of the control role for a daemon's kernel.

    :param settings: checked settings of a daemon with the control role.
    :return: the services in the order in which they are started.
    """
    return (
        StateMachine.from_config(settings),
        ConsensusNode.from_config(settings),
        EntryLeases.from_config(settings),
        LeaderDuties.from_config(settings),
        EngineOrders.from_config(settings),
        ControlRpc.from_config(settings),
    )


__all__ = ["build_services"]
