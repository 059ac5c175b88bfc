"""The route table as frozen data classes."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class RepeatRule(enum.Enum):
    """
    How often a request of a route may run at endpoints.

    An IDEMPOTENT request may run more than once, a ONCE request at most once for each attempt of
    the caller. A JOB request submits items that run later and may run more than once.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    JOB = "job"


@dataclass(frozen=True)
class Share:
    """
    A service's share of the requests of a route.

    :param service: name of the service.
    :param weight: the share, relative to the sum of the weights of the route.
    """

    service: str
    weight: float


@dataclass(frozen=True)
class JobTerms:
    """
    Time limits and version rule of the jobs that are submitted on a route.

    :param due_s: seconds from the first submission until all results are due.
    :param give_up_s: seconds from the first submission after which an item may be abandoned.
    :param single_version: whether a single weight version must generate a complete result.
    """

    due_s: float
    give_up_s: float
    single_version: bool = False


@dataclass(frozen=True)
class Route:
    """
    A route: the services and limits for requests with one host and path prefix.

    :param name: name of the route.
    :param host: host of the request, without a port.
    :param prefix: prefix of the request's path; starts and ends with a slash.
    :param repeat: how often a request may run at endpoints.
    :param shares: the services that the requests are distributed over.
    :param timeout_s: time limit of a request, in seconds.
    :param target_s: seconds within which an answer has its full value.
    :param priority: rank of the route's requests; 0 is the highest.
    :param max_attempts: maximum number of endpoints that a request is sent to for one attempt of
        the caller.
    :param public: whether requests need no key.
    :param stream: whether the answer is a stream of events, forwarded as they arrive.
    :param resumable: whether a broken stream may be resumed at another endpoint.
    :param job: time limits and version rule of its jobs; None on routes that accept no jobs.
    :param regions: regions in which its requests may run; empty for all.
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
    regions: tuple[str, ...] = ()


@dataclass(frozen=True)
class ScalingTerms:
    """
    Limits and costs of ordering endpoints of a service.

    :param least: minimum number of endpoints in a data centre.
    :param most: maximum number of endpoints in a data centre.
    :param boot_s: seconds from an order until the endpoint serves.
    :param cheap_price: price of a cheap endpoint, whose VM the cloud may reclaim, relative to 1.0
        for a standard endpoint.
    :param price_by_data_centre: price of an endpoint per second, by data centre.
    """

    least: int
    most: int
    boot_s: float
    cheap_price: float
    price_by_data_centre: dict[str, float]


@dataclass(frozen=True)
class ServiceTerms:
    """
    A service: the limits of each of its endpoints, and whether endpoints may be ordered.

    :param name: name of the service.
    :param max_connections: maximum number of connections that one endpoint accepts, over all
        callers.
    :param capacity: maximum number of requests that an engine runs at the same time; 0 for a
        service without engines.
    :param memory_tokens: number of tokens that fit into an engine's memory.
    :param models: names of the models that its engines serve.
    :param scaling: limits and costs of ordering endpoints; None if they cannot be ordered.
    :param cold_requests_per_s: requests per second that an endpoint bears while it is cold, the
        first seconds after its start; 0 for no limit.
    """

    name: str
    max_connections: int
    capacity: int = 0
    memory_tokens: int = 0
    models: tuple[str, ...] = ()
    scaling: ScalingTerms | None = None
    cold_requests_per_s: float = 0.0


@dataclass(frozen=True)
class ClientAccount:
    """
    A client account with its keys and the priority of its requests.

    :param name: name of the client account.
    :param keys: the keys that callers of the account send.
    :param priority: rank of its requests, 0 for the highest, which overrides the route's priority;
        None uses the route's.
    :param regions: regions in which its requests may run; empty for all.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    regions: tuple[str, ...] = ()


@dataclass(frozen=True)
class RouteTable:
    """
    A complete configuration; the table with the highest version is in force.

    :param version: version of this table.
    :param routes: the routes, of which a request uses the longest matching one.
    :param services: the services that routes refer to.
    :param accounts: the client accounts; without any, callers need no key.
    :param idle_s: seconds after which an idle connection of a caller is closed.
    :param max_body_bytes: maximum size of a request's body, in bytes.
    :param max_header_bytes: maximum size of a request's line and headers, in bytes.
    :param header_s: seconds within which a caller sends the line and headers of a request.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[ServiceTerms, ...] = ()
    accounts: tuple[ClientAccount, ...] = ()
    idle_s: float = 15.0
    max_body_bytes: int = 4 * 1024 * 1024
    max_header_bytes: int = 16 * 1024
    header_s: float = 3.0


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
