"""The services of the entry role."""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING

from ibisspring_entry.claims import Claims
from ibisspring_entry.http import HttpService
from ibisspring_entry.proxy import Endpoints
from ibisspring_entry.registry import Registry

if TYPE_CHECKING:
    from ibisspring_core.kernel import Service
    from ibisspring_core.settings import Settings


def build_services(settings: Settings) -> tuple[Service, ...]:
    """
    Build the services of this role in start order.

    `http` starts last, when all routes are known, and stops first, so that running requests finish
    while everything that they need still works.

    :param settings: checked settings.
    :return: the services.
    """
    services = [
        _optional("lease", "Lease", settings),
        Registry.from_config(settings),
        _optional("usage_meter", "UsageMeter", settings),
        Endpoints.from_config(settings),
        Claims.from_config(settings),
        _optional("rollouts", "Rollouts", settings),
        HttpService.from_config(settings),
    ]
    return tuple(service for service in services if service is not None)


def _optional(module: str, name: str, settings: Settings) -> Service | None:
    try:
        found = importlib.import_module(f"ibisspring_entry.{module}")
    except ModuleNotFoundError:
        return None
    return getattr(found, name).from_config(settings)


__all__ = ["build_services"]
