"""How the entry speaks with endpoints; an adapter puts it into their words."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ibisspring_core.connections import Headers
    from ibisspring_core.messages.endpoints import EndpointRecord
    from ibisspring_core.messages.jobs import Assignment, RewardCall


@dataclass(frozen=True)
class CallerRequest:
    """
    A caller's request that is passed on to one endpoint.

    :param request: id of this attempt of the caller.
    :param target: path and query as they stood in the request line.
    :param headers: as the caller sent them, without those of its connection.
    :param client_account: whose key came with it; empty on a public route.
    :param left_s: seconds that the caller still waits; None where it did not say.
    """

    request: str
    method: str
    target: str
    headers: Headers
    body: bytes
    client_account: str
    left_s: float | None


class Verdict(enum.Enum):
    """
    What an endpoint's answer means.

    ANSWERED is the endpoint's own answer. TURNED_AWAY promises that the request was not run.
    OTHER_ENDPOINT promises the same and tells that another endpoint has the address, or that it has
    other weights. FAILED has run and may be tried elsewhere. NOT_OURS belongs to another request.
    """

    ANSWERED = "answered"
    TURNED_AWAY = "turned_away"
    OTHER_ENDPOINT = "other_endpoint"
    FAILED = "failed"
    NOT_OURS = "not_ours"


@dataclass(frozen=True)
class Event:
    """
    One event of a stream.

    :param number: from 1.
    :param version: weight version from this event on; None where it did not change.
    """

    number: int
    data: str
    version: int | None


class EndpointWire(Protocol):
    """The service `endpoint_wire`."""

    name: str

    def call_headers(self, request: CallerRequest, to: EndpointRecord, left_s: float) -> Headers:
        """Headers of a request at an endpoint."""

    def call_verdict(self, request: CallerRequest, status: int, headers: Headers) -> Verdict:
        """Judge the head of its answer."""

    def run_headers(self, assignment: Assignment) -> Headers:
        """Headers of an item's run."""

    def run_verdict(self, assignment: Assignment, status: int, headers: Headers) -> Verdict:
        """Judge the head of its answer."""

    def run_version(self, headers: Headers) -> int | None:
        """Weight version that begins a run."""

    def reward_request(self, call: RewardCall, left_s: float) -> CallerRequest:
        """Put a reward call as a request that comes from no caller."""

    def score(self, headers: Headers) -> str:
        """Read the score from the head of a reward call's answer; empty for none."""

    def read_event(self, block: bytes) -> Event | None:
        """Read the lines of one event; None where they are none."""


__all__ = ["CallerRequest", "EndpointWire", "Event", "Verdict"]
