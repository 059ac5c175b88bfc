"""`POST /v1/announce`: endpoints announce their address, state and load."""

from __future__ import annotations

from typing import TYPE_CHECKING

import falcon
import falcon.asgi
import msgspec

from ibisspring_core.errors import Reason, Refusal
from ibisspring_entry.http.bodies import read_body
from ibisspring_entry.http.refusals import refuse
from ibisspring_entry.registry.announcement import parse_announcement

if TYPE_CHECKING:

    from ibisspring_core.kernel import Kernel
    from ibisspring_core.settings import EntrySettings


class AnnounceResource:
    """Receives endpoints' announcements, without an API key (docs/how-to/endpoints.md)."""

    def __init__(self, kernel: Kernel, settings: EntrySettings) -> None:
        self._settings = settings
        self._registry = kernel.find("registry")
        self._counters = kernel.find("counters")

    async def on_post(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Validate an announcement, record it in the registry and say whether it was accepted."""
        data = await read_body(request, self._settings)
        record = data if isinstance(data, Refusal) else parse_announcement(data)
        if isinstance(record, tuple):
            self._counters.add("announcement_broken")
            problems = "; ".join(f"{finding.place}: {finding.message}" for finding in record)
            record = Refusal(Reason.BAD_REQUEST, True, None, problems)
        if isinstance(record, Refusal):
            refuse(response, record, request.context.request_id, self._counters)
            return
        reason = self._registry.register_announcement(record)
        response.content_type = falcon.MEDIA_JSON
        response.data = msgspec.json.encode({"accepted": not reason, "reason": reason})


__all__ = ["AnnounceResource"]
