"""The services of the entry role, for daemons that find each other through seed addresses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisspring_core.connections import Connections
from ibisspring_core.directory_view import DirectoryView
from ibisspring_gateway.crash_suspects import crash_suspects
from ibisspring_gateway.entry_limits import EntryLimits
from ibisspring_gateway.forward import Forwarder
from ibisspring_gateway.result_reads import ResultReads
from ibisspring_gateway.reward_calls import RewardCalls
from ibisspring_gateway.runner import Runner
from ibisspring_gateway.send_gate import SendGate
from ibisspring_gateway.usage import UsageCounts

if TYPE_CHECKING:
    from ibisspring_core.kernel import Service
    from ibisspring_core.settings.vm import VmSettings


def build_services(settings: VmSettings) -> tuple[Service, ...]:
    """
    Build the services of the entry role.

    :param settings: validated settings of this daemon.
    :return: the services, in the order in which they must be started.
    """
    sized = settings.policy.sizes and settings.size.is_known()
    return (
        *((EntryLimits.from_config(settings),) if sized else ()),
        DirectoryView.from_config(settings),
        UsageCounts.from_config(settings),
        Connections.from_config(settings),
        SendGate.from_config(settings),
        crash_suspects(settings.daemon),
        Forwarder.from_config(settings),
        RewardCalls(),
        Runner.from_config(settings),
        ResultReads.from_config(settings),
    )


__all__ = ["build_services"]
