"""What a request is billed for."""

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
    Record one answered request, once, however many endpoints it took.

    :param kernel: the daemon's kernel.
    :param client_account: whom it ran for.
    :param service: the model or plain service.
    :param tokens: tokens that the caller was sent.
    :param endpoint_s: seconds that it took at endpoints.
    :param request_id: its id.
    """
    meter = kernel.find_optional("usage_meter")
    if meter is not None:
        meter.record(client_account, service, tokens, 1, endpoint_s, request_id)


__all__ = ["bill"]
