"""The balancer's questions."""

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
    """`GET /healthz`: the process answers."""

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Say so."""
        response.content_type = falcon.MEDIA_JSON
        response.data = b'{"healthy": true}'


class ReadyResource:
    """`GET /readyz`: new requests may be sent here."""

    def __init__(self, kernel: Kernel, is_stopping: Callable[[], bool]) -> None:
        self._lease = kernel.find("lease")
        self._is_stopping = is_stopping

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Answer 200, or 503 with the reason."""
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
