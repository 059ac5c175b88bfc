"""Results of requests to endpoints: complete responses and failed attempts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ibisspring_core.connections import Headers
    from ibisspring_core.errors import Reason, Refusal


@dataclass(frozen=True)
class EndpointResponse:
    """
    An endpoint's complete response to a forwarded request.

    :param headers: response headers as the endpoint sent them.
    """

    status: int
    headers: Headers
    body: bytes | bytearray


@dataclass(frozen=True)
class SendResult:
    """
    The result of a request that the system itself sent, such as a reward call.

    :param answer: an endpoint's complete response, or a refusal that says why there is none.
    :param may_have_run: at least one endpoint may have run the request.
    :param endpoint_failures: number of endpoints that ran the request and failed.
    """

    answer: EndpointResponse | Refusal
    may_have_run: bool
    endpoint_failures: int


@dataclass(frozen=True)
class FailedAttempt:
    """
    The reason why an attempt at one endpoint got no usable response.

    :param may_have_run: the endpoint may have run the request.
    :param sent: a part of the request may have been sent to the endpoint.
    :param error: the connection's error, for the log; empty if there was none.
    """

    reason: Reason
    may_have_run: bool
    sent: bool = True
    error: str = ""


@dataclass(frozen=True)
class ConnectTerms:
    """
    How an attempt gets its connection.

    :param timeout_s: seconds to wait until a connection that is not in the pool is open.
    :param is_new: the attempt uses no connection of the pool.
    """

    timeout_s: float
    is_new: bool


__all__ = ["ConnectTerms", "EndpointResponse", "FailedAttempt", "SendResult"]
