"""The route table as frozen data classes."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class RepeatRule(enum.Enum):
    """
    How often a request of a route may run.

    IDEMPOTENT requests may run more than once, ONCE at most once for each attempt of the caller,
    JOB submits work that runs later and may run more than once.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    JOB = "job"


@dataclass(frozen=True)
class Share:
    """
    One of the services that share a route.

    :param weight: its part, against the sum over the route.
    """

    service: str
    weight: float


@dataclass(frozen=True)
class JobTerms:
    """
    What holds for the jobs that a route takes.

    :param due_s: seconds from the first submission until all results are due.
    :param give_up_s: seconds from the first submission after which an item may be given up.
    :param single_version: one weight version must make a whole result.
    """

    due_s: float
    give_up_s: float
    single_version: bool = False


@dataclass(frozen=True)
class Route:
    """
    One route.

    :param host: the host that callers name, without a port.
    :param prefix: begins the paths of the route; begins and ends with a slash.
    :param timeout_s: longest time that a caller is kept waiting.
    :param target_s: time within which an answer is worth most.
    :param priority: rank; 0 is the highest.
    :param max_attempts: most endpoints that one attempt of a caller may be sent to.
    :param public: needs no key.
    :param stream: the answer is a series of events that are passed on as they come.
    :param resumable: a broken stream may go on at another endpoint.
    :param job: set on routes that take jobs.
    """

    name: str
    host: str
    prefix: str
    repeat: RepeatRule
    shares: tuple[Share, ...]
    timeout_s: float
    target_s: float
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    stream: bool = False
    resumable: bool = False
    job: JobTerms | None = None


@dataclass(frozen=True)
class ScalingTerms:
    """
    How many endpoints of a service may be ordered in a data centre.

    :param boot_s: seconds from an order until an endpoint serves.
    :param cheap_price: price of the cheap kind, against 1.0 for the other.
    :param price_by_data_centre: cost of an endpoint's second.
    """

    least: int
    most: int
    boot_s: float
    cheap_price: float
    price_by_data_centre: dict[str, float]


@dataclass(frozen=True)
class ServiceTerms:
    """
    What is known of a service's endpoints.

    :param max_connections: connections that one endpoint accepts from all callers together.
    :param capacity: requests that an engine works on at a time; 0 for a service without engines.
    :param memory_tokens: tokens that an engine's memory holds.
    :param models: models that its engines serve.
    :param scaling: None where endpoints cannot be ordered.
    """

    name: str
    max_connections: int
    capacity: int = 0
    memory_tokens: int = 0
    models: tuple[str, ...] = ()
    scaling: ScalingTerms | None = None


@dataclass(frozen=True)
class ClientAccount:
    """
    A client account with the keys that it calls under.

    :param priority: takes precedence over the route's; None leaves it to the route.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True)
class RouteTable:
    """
    A whole configuration; the highest version is in force.

    :param idle_s: seconds that a caller's connection may be idle.
    :param max_body_bytes: largest body of a request.
    :param max_header_bytes: largest head of a request.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[ServiceTerms, ...] = ()
    accounts: tuple[ClientAccount, ...] = ()
    idle_s: float = 15.0
    max_body_bytes: int = 4 * 1024 * 1024
    max_header_bytes: int = 16 * 1024


__all__ = [
    "ClientAccount",
    "JobTerms",
    "RepeatRule",
    "Route",
    "RouteTable",
    "ScalingTerms",
    "ServiceTerms",
    "Share",
]
