"""The services of the entry role, which serves callers and trainers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisspring_entry.admission import AdmissionService
from ibisspring_entry.claims import Claims
from ibisspring_entry.http import HttpService
from ibisspring_entry.lease import Lease
from ibisspring_entry.proxy import Endpoints
from ibisspring_entry.proxy.crash_suspects import crash_suspects
from ibisspring_entry.registry import Registry
from ibisspring_entry.rollouts import Rollouts
from ibisspring_entry.usage_meter import UsageMeter

if TYPE_CHECKING:
    from ibisspring_core.kernel import Service
    from ibisspring_core.settings import Settings


def build_services(settings: Settings) -> tuple[Service, ...]:
    """
    Build the services of the entry role, in the order in which the kernel starts them.

    `http` starts last, when all routes are registered, and stops first, so that running requests
    can finish while the services that they use still run.

    :param settings: validated settings of this daemon.
    """
    return (
        Lease.from_config(settings),
        Registry.from_config(settings),
        AdmissionService.from_config(settings),
        UsageMeter.from_config(settings),
        crash_suspects(settings),
        Endpoints.from_config(settings),
        Claims.from_config(settings),
        Rollouts.from_config(settings),
        HttpService.from_config(settings),
    )


__all__ = ["build_services"]
