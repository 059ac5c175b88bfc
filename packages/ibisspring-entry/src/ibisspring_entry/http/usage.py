"""Records the usage of answered requests for billing."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel


def bill(
    kernel: Kernel,
    client_account: str,
    service: str,
    tokens: int,
    endpoint_s: float,
    request_id: str,
) -> None:
    """
    Record the usage of an answered request once, however many endpoints were tried.

    :param kernel: registry in which the daemon's services find each other.
    :param client_account: client account that is billed.
    :param service: name of the model or plain service.
    :param tokens: number of tokens sent to the caller; 0 for a plain service.
    :param endpoint_s: seconds for which endpoints worked on the request.
    :param request_id: id under which the request is billed once.
    """
    meter = kernel.find_optional("usage_meter")
    if meter is not None:
        meter.record(client_account, service, tokens, 1, endpoint_s, request_id)


__all__ = ["bill"]
