"""The crash suspects of an entry that gets them with the view of its lease."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from ibisspring_core.clock import boot_now, wall_now
from ibisspring_core.crash_suspects import CrashSuspects
from ibisspring_core.errors import Refusal
from ibisspring_core.request_identity import IdentifiedRequest
from ibisspring_core.request_ids import new_request_id
from ibisspring_entry.proxy.messages import GenerateRequest, PlainRequest

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ibisspring_core.control_client import ControlClient
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.messages.crash_suspects import SuspectSummary
    from ibisspring_core.settings import Settings
    from ibisspring_entry.lease import Lease

GENERATE = "GENERATE"
"""Stands for the HTTP method in the identity of a generation."""


class LeaseLink:
    """The way to the control leader; its methods are those of `SuspectsLink`."""

    def __init__(self, lease: Lease, control: ControlClient) -> None:
        self._lease = lease
        self._control = control
        self._suspects: Mapping[str, SuspectSummary] = {}
        self._change = 0
        self._seen_at_s = boot_now()

    @classmethod
    def from_kernel(cls, kernel: Kernel) -> LeaseLink:
        """Build the link from the services `lease` and `control_client`."""
        return cls(kernel.find("lease"), kernel.find("control_client"))

    def suspects(self) -> Mapping[str, SuspectSummary]:
        self._read_view()
        return self._suspects

    def change(self) -> int:
        self._read_view()
        return self._change

    def _read_view(self) -> None:
        # While the lease is lapsed there is no view, and the suspects known last stay in force.
        view = self._lease.view()
        if not isinstance(view, Refusal):
            self._suspects = view.suspects
            self._change = view.suspect_change
            self._seen_at_s = boot_now()

    def age_s(self) -> float:
        return boot_now() - self._seen_at_s

    def wall_s(self) -> float:
        return wall_now()

    async def call(self, message: Any, timeout_s: float) -> Any:
        return await self._control.propose(message, new_request_id(), timeout_s)


def crash_suspects(settings: Settings) -> CrashSuspects:
    """
    Build the service of an entry.

    :param settings: validated settings of a daemon with the entry role.
    """
    return CrashSuspects(settings.daemon, identified, LeaseLink.from_kernel)


def identified(request: GenerateRequest | PlainRequest) -> IdentifiedRequest:
    """Return the parts of a request that its identity depends on."""
    if isinstance(request, GenerateRequest):
        body = msgspec.msgpack.encode((request.prompt, request.max_tokens))
        target = f"{request.model}/{request.adapter}"
        return IdentifiedRequest(
            request.request_id, request.client_account, GENERATE, "", target, body
        )
    return IdentifiedRequest(
        request.request_id,
        request.client_account,
        request.method,
        request.service,
        request.path,
        request.body,
    )


__all__ = ["crash_suspects", "identified"]
