"""Responses to the health and readiness probes of the load balancer."""

from __future__ import annotations

from typing import TYPE_CHECKING

import falcon
import falcon.asgi
import msgspec

from ibisspring_core.errors import Reason, Refusal

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisspring_core.kernel import Kernel


class HealthResource:
    """`GET /healthz`: shows that the process responds."""

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Respond with 200, whatever the state of the lease."""
        response.content_type = falcon.MEDIA_JSON
        response.data = b'{"healthy": true}'


class ReadyResource:
    """`GET /readyz`: whether this entry accepts new requests."""

    def __init__(self, kernel: Kernel, is_stopping: Callable[[], bool]) -> None:
        self._lease = kernel.find("lease")
        self._is_stopping = is_stopping

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Respond with 200, or with 503 and the reason why this entry is not ready."""
        reason = ""
        view = self._lease.view()
        if isinstance(view, Refusal):
            reason = view.reason.value
        if self._is_stopping():
            reason = Reason.STOPPING.value
        response.status = falcon.HTTP_503 if reason else falcon.HTTP_200
        response.content_type = falcon.MEDIA_JSON
        response.data = msgspec.json.encode({"ready": not reason, "reason": reason})


__all__ = ["HealthResource", "ReadyResource"]
