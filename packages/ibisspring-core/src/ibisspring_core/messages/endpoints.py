"""Records of endpoints, built from their announcements."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True)
class EndpointLoad:
    """
    Requests at an endpoint, as the endpoint reports them; the report is later than the changes.

    :param running: number of requests that run.
    :param queued: number of requests in the endpoint's queue.
    :param capacity: maximum number of requests that run at the same time.
    """

    running: int = 0
    queued: int = 0
    capacity: int = 1


@dataclass(frozen=True)
class EndpointRecord:
    """
    The newest announcement of an endpoint.

    :param endpoint: id of the endpoint.
    :param incarnation: number of the endpoint's start; rises with each start.
    :param sequence: number of the announcement; rises within an incarnation.
    :param service: name that callers use: a model (`scorer-lm`) or a plain service (`archive-app`).
    :param role: `engine`, `plain` or `scorer`.
    :param kind: `standard` or `cheap`; the cloud may reclaim a cheap VM at any time.
    :param data_centre: data centre of the endpoint.
    :param address: IP:port of its HTTP interface.
    :param state: `serving`, `leaving` (final for the incarnation) or `gone` (TTL expired).
    :param version_by_adapter: weight version in use, by adapter name. An adapter has the name of
        its trainer; the empty name is the base model.
    :param load: the endpoint's requests at the time of the announcement.
    :param prefixes: digests of prompt prefixes that the endpoint reports as cached. The report is
        late and incomplete, so this is a hint.
    :param checks_fencing: whether the endpoint rejects orders with an old fencing number.
    :param cold_s: seconds from the announcement for which the endpoint is cold: it has just
        started and bears only few requests per second.
    """

    endpoint: str
    incarnation: int
    sequence: int
    service: str
    role: str
    kind: str
    data_centre: str
    address: str
    state: str = "serving"
    version_by_adapter: dict[str, int] = field(default_factory=dict)
    load: EndpointLoad = EndpointLoad()
    prefixes: tuple[str, ...] = ()
    checks_fencing: bool = False
    cold_s: float = 0.0

    def order(self) -> tuple[int, int]:
        """Return the sort key of the records of one endpoint; the newest record has the highest."""
        return (self.incarnation, self.sequence)


@dataclass(frozen=True)
class Disproof:
    """
    Report that an engine announced a weight version and generated later tokens with another one.

    :param endpoint: id of the engine.
    :param incarnation: incarnation of the engine.
    :param adapter: name of the adapter.
    :param version: the weight version that was announced and not used.
    """

    endpoint: str
    incarnation: int
    adapter: str
    version: int


__all__ = ["Disproof", "EndpointLoad", "EndpointRecord"]
