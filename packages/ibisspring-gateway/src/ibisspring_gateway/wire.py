"""The interface between an entry and the adapter that encodes its requests for endpoints."""

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
    A caller's request, or a reward call, that is forwarded to an endpoint.

    :param request_id: id that the caller gave this attempt.
    :param target: path and query exactly as in the request line.
    :param headers: headers as the caller sent them; `EndpointAdapter.call_headers` removes those
        that concern only the caller's connection.
    :param client_account: account whose key authenticated the request; empty without a key.
    :param remaining_s: seconds until the caller's deadline, counted from the arrival of the
        request; None where the caller sent no deadline.
    :param regions: regions in which the request may run; None for all.
    :param accepted: the request is work that was accepted for later, and is repeated until done.
    """

    request_id: str
    method: str
    target: str
    headers: Headers
    body: bytes | bytearray
    client_account: str
    remaining_s: float | None
    regions: tuple[str, ...] | None = None
    accepted: bool = False


class ResponseKind(enum.Enum):
    """
    Classification of an endpoint's response by its status and headers.

    ANSWERED: the response is the endpoint's own answer to the request.
    REJECTED: the endpoint rejected the request and guarantees that it did not run it.
    OTHER_ENDPOINT: the request was not run, because another endpoint now has the address or the
    endpoint has other weights than expected.
    FAILED: the endpoint ran the request and failed; another endpoint may be tried.
    OTHER_REQUEST: the response belongs to another request.
    """

    ANSWERED = "answered"
    REJECTED = "turned_away"
    OTHER_ENDPOINT = "other_endpoint"
    FAILED = "failed"
    OTHER_REQUEST = "not_ours"


@dataclass(frozen=True)
class Event:
    """
    One event of an engine's streamed response to an item's run.

    :param number: position of the event in the item's text, from 1.
    :param version: weight version that made this event and the following events; None where it is
        the same version as for the event before.
    """

    number: int
    data: str
    version: int | None


class EndpointAdapter(Protocol):
    """The service `endpoint_wire`: builds requests to endpoints and interprets their responses."""

    name: str

    def call_headers(
        self, request: CallerRequest, record: EndpointRecord, remaining_s: float
    ) -> Headers:
        """
        Build the headers of a forwarded request.

        :param record: endpoint that the request is sent to.
        :param remaining_s: seconds that the endpoint may work on the request.
        """

    def classify_call_response(
        self, request: CallerRequest, status: int, headers: Headers
    ) -> ResponseKind:
        """Classify the response to a forwarded request by its status and headers."""

    def run_headers(self, assignment: Assignment) -> Headers:
        """Build the headers of the request that runs a job's item."""

    def classify_run_response(
        self, assignment: Assignment, status: int, headers: Headers
    ) -> ResponseKind:
        """Classify the response to an item's run by its status and headers."""

    def initial_version(self, headers: Headers) -> int | None:
        """Read the weight version at the start of a run; None where the headers do not give it."""

    def reward_request(self, call: RewardCall, remaining_s: float) -> CallerRequest:
        """
        Convert a reward call to a request that the forwarder can send.

        :param remaining_s: seconds that endpoints may work on the call.
        """

    def read_score(self, headers: Headers) -> str:
        """Read the score from the headers of the response to a reward call; empty for none."""

    def read_event(self, block: bytes) -> Event | None:
        """
        Parse one event of a stream.

        :param block: lines of the event, without the blank line that ends it.
        :return: the event; None where the lines are not a valid event.
        """


__all__ = ["CallerRequest", "EndpointAdapter", "Event", "ResponseKind"]
