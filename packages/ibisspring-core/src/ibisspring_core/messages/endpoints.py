"""What is known of an endpoint."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True)
class EndpointLoad:
    """
    Load as the endpoint reported it; it lags.

    :param running: requests in work.
    :param queued: requests waiting at the endpoint.
    :param capacity: requests that it works on at a time.
    """

    running: int = 0
    queued: int = 0
    capacity: int = 1


@dataclass(frozen=True)
class EndpointRecord:
    """
    The newest announcement of an endpoint.

    :param endpoint: id of the endpoint.
    :param incarnation: rises with each start of the endpoint.
    :param sequence: rises with each announcement of an incarnation.
    :param service: name that callers ask for: a model (`scorer-lm`) or a plain service (`archive-
        app`).
    :param role: `engine`, `plain` or `scorer`.
    :param kind: `standard` or `cheap`; the cheap kind may be reclaimed at any moment.
    :param data_centre: where it stands.
    :param address: IP:port of its HTTP interface.
    :param state: `serving`, `leaving` (final for the incarnation) or `gone`.
    :param version_by_adapter: weight version in use by adapter name; the adapter is named as its
        trainer, `` is the base.
    :param load: its last load report.
    :param prefixes: digests of prompt prefixes that it says it caches; late and with gaps, so only
        a hint.
    :param checks_fencing: whether it refuses orders with an old fencing number.
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

    def order(self) -> tuple[int, int]:
        """Rank of the record among those of its endpoint: the newest wins."""
        return (self.incarnation, self.sequence)


@dataclass(frozen=True)
class Disproof:
    """
    A version that an engine announced and whose tokens said otherwise.

    :param adapter: the adapter's name.
    :param version: the announced version.
    """

    endpoint: str
    incarnation: int
    adapter: str
    version: int


__all__ = ["Disproof", "EndpointLoad", "EndpointRecord"]
