"""Route tables of operators and published weight versions of trainers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import eliot

from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.messages.directory import TableRead, TableReplaced, VersionNamed
from ibisspring_directory.commands import PutTable, PutVersion

if TYPE_CHECKING:
    from ibisspring_core.messages.directory import NameVersion, ReadTable, ReplaceTable
    from ibisspring_directory.leader_context import LeaderContext


class RouteTables:
    """The handlers of the messages that set or read them, on the directory's leader."""

    def __init__(self, context: LeaderContext) -> None:
        self._context = context

    async def replace(self, message: ReplaceTable) -> Any:
        """
        Commit a route table, and answer once all active entries use it.

        The answer is sent after MAX_CHANGE_WAIT_S seconds even if some entries do not use it yet.
        """
        version = message.table.version
        if version > self._context.state.table_version:
            committed = await self._context.propose(PutTable(message.table, message.document))
            if isinstance(committed, Refusal):
                return committed
            eliot.log_message("directory:table", version=version, routes=len(message.table.routes))
        in_force = self._context.state.table_version

        def is_applied(now: float) -> bool:
            return not self._context.sessions.with_older_table(in_force, now)

        if not await self._context.wait_until_applied(is_applied):
            self._context.counters.add("directory.table_not_everywhere")
        if not self._context.holds_lease():
            return Refusal(Reason.MAY_HAVE_RUN, False, None, "the leader changed")
        return TableReplaced(self._context.state.table_version)

    async def read(self, message: ReadTable) -> Any:
        """Read the newest route table, after a quorum confirmed that none newer is committed."""
        confirmed = await self._context.confirm_read()
        if isinstance(confirmed, Refusal):
            return confirmed
        return TableRead(self._context.state.table_version, self._context.state.document)

    async def name_version(self, message: NameVersion) -> Any:
        """Commit the weight version that a trainer published, unless a newer one is known."""
        if message.version > self._context.state.version_by_model.get(message.model, 0):
            committed = await self._context.propose(PutVersion(message.model, message.version))
            if isinstance(committed, Refusal):
                return committed
            eliot.log_message("directory:version", model=message.model, version=message.version)
        return VersionNamed()


__all__ = ["RouteTables"]
