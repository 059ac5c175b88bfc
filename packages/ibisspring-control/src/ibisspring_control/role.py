"""The services of the control role."""

from __future__ import annotations

from importlib.util import find_spec
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ibisspring_core.kernel import Service
    from ibisspring_core.settings import Settings


def build_services(settings: Settings) -> tuple[Service, ...]:
    """
    Build the services of this role in start order.

    :param settings: checked settings.
    :return: the services.
    """
    from ibisspring_control.consensus import ConsensusNode
    from ibisspring_control.rpc.server import ControlRpc

    services: list[Service] = []
    if find_spec("ibisspring_control.state") is not None:
        from ibisspring_control.state import StateMachine

        services.append(StateMachine.from_config(settings))
    services.append(ConsensusNode.from_config(settings))
    if find_spec("ibisspring_control.entry_leases") is not None:
        from ibisspring_control.entry_leases import EntryLeases

        services.append(EntryLeases.from_config(settings))
    if find_spec("ibisspring_control.in_charge") is not None:
        from ibisspring_control.in_charge import InCharge

        services.append(InCharge.from_config(settings))
    services.append(ControlRpc.from_config(settings))
    return tuple(services)


__all__ = ["build_services"]
