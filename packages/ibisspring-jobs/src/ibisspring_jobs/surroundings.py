"""Callbacks for the dispatcher: endpoints, service properties and the clock of its daemon."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ibisspring_core.counters import Counters
from ibisspring_core.settings.policy import LoadPolicy

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisspring_core.messages.endpoints import EndpointRecord
    from ibisspring_core.routes.model import ServiceTerms


@dataclass(frozen=True)
class DispatchContext:
    """
    Callbacks through which the dispatcher reads the directory view of its daemon.

    :param serving: returns the endpoints of a service that accept new requests.
    :param terms: returns the slots and the memory that a service's engines have; None if the
        service is unknown.
    :param is_loading: whether an endpoint (its id is the first argument) is loading weights of a
        model (the second argument). Meanwhile it starts no requests for that model.
    :param paced_limit: returns the most requests that an endpoint of a service may get in any
        second; None for no limit.
    :param is_cold: whether an endpoint (its id is the argument) says that it is cold.
    :param is_in_regions: whether a data centre (the first argument) lies in the given regions; None
        stands for all.
    :param wall_s: returns the wall-clock time that most daemons agree on, in seconds since 1970.
    :param policy: the optional decisions that are in force.
    :param weight_of: returns the weight of a client account's share.
    :param counters: the daemon's counters.
    """

    serving: Callable[[str], tuple[EndpointRecord, ...]]
    terms: Callable[[str], ServiceTerms | None]
    wall_s: Callable[[], float]
    is_loading: Callable[[str, str], bool] = lambda endpoint, model: False
    paced_limit: Callable[[str], int | None] = lambda service: None
    is_cold: Callable[[str], bool] = lambda endpoint: False
    is_in_regions: Callable[[str, tuple[str, ...] | None], bool] = lambda data_centre, regions: True
    policy: LoadPolicy = LoadPolicy()
    weight_of: Callable[[str], float] = lambda client_account: 1.0
    counters: Counters = field(default_factory=lambda: Counters(None))


__all__ = ["DispatchContext"]
