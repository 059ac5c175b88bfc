"""What the dispatcher asks of the daemon around it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisspring_core.messages.endpoints import EndpointRecord
    from ibisspring_core.routes.model import ServiceTerms


@dataclass(frozen=True)
class Surroundings:
    """
    What the dispatcher asks of the daemon around it.

    :param serving: endpoints of a service that may get new work.
    :param terms: terms of a service; None for an unknown one.
    :param loads: whether an endpoint begins nothing for a model because it loads.
    :param wall_s: agreed time of day in seconds since 1970.
    """

    serving: Callable[[str], tuple[EndpointRecord, ...]]
    terms: Callable[[str], ServiceTerms | None]
    wall_s: Callable[[], float]
    loads: Callable[[str, str], bool] = lambda endpoint, model: False


__all__ = ["Surroundings"]
