"""The crash suspects of an entry that gets them with its directory view."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ibisspring_core.crash_suspects import CrashSuspects
from ibisspring_core.request_identity import IdentifiedRequest

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ibisspring_core.directory_view import DirectoryView
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.messages.crash_suspects import SuspectSummary
    from ibisspring_gateway.wire import CallerRequest


class DirectoryLink:
    """The way to the directory's leader; its methods are those of `SuspectsLink`."""

    def __init__(self, view: DirectoryView) -> None:
        self._view = view

    @classmethod
    def from_kernel(cls, kernel: Kernel) -> DirectoryLink:
        """Build the link from the service `directory_view`."""
        return cls(kernel.find("directory_view"))

    def suspects(self) -> Mapping[str, SuspectSummary]:
        return self._view.view.suspects

    def change(self) -> int:
        return self._view.view.suspect_change

    def age_s(self) -> float:
        return self._view.age_s()

    def wall_s(self) -> float:
        return self._view.wall_s()

    async def call(self, message: Any, timeout_s: float) -> Any:
        return await self._view.call_leader(message, timeout_s)


def crash_suspects(daemon: str) -> CrashSuspects:
    """
    Build the service of an entry.

    :param daemon: name of the entry.
    """
    return CrashSuspects(daemon, identified, DirectoryLink.from_kernel)


def identified(request: CallerRequest) -> IdentifiedRequest:
    """Return the parts of a caller's request that its identity depends on."""
    hosts = (value for name, value in request.headers if name.lower() == "host")
    return IdentifiedRequest(
        request.request_id,
        request.client_account,
        request.method,
        next(hosts, ""),
        request.target,
        request.body,
    )


__all__ = ["crash_suspects", "identified"]
