"""
Evacuations of data centres: an operator asks that their endpoints get no new requests.

An evacuation is part of the replicated state and of every daemon's view. Its start and its end are
answered once all active entries and stores, which are the senders of requests to endpoints, hold a
view with the change.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import eliot

from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.messages.evacuations import Evacuated, Evacuation, EvacuationsRead
from ibisspring_directory.commands import SetEvacuation
from ibisspring_directory.sessions import SESSION_ACTIVE_S

if TYPE_CHECKING:
    from ibisspring_core.messages.evacuations import Evacuate, ReadEvacuations
    from ibisspring_directory.leader_context import LeaderContext

# Change number of a data centre that was never evacuated.
NO_CHANGE = 0


class Evacuations:
    """The handlers of the operators' messages about evacuations, on the directory's leader."""

    def __init__(self, context: LeaderContext) -> None:
        self._context = context

    async def evacuate(self, message: Evacuate) -> Any:
        """
        Commit the start or the end of an evacuation, and answer once all active daemons have it.

        A call whose wanted state is already in force changes nothing and is answered in the same
        way, so an operator may repeat a call whose answer was lost.

        :return: `Evacuated`; a refusal with CONFLICT if another change came first.
        """
        if message.data_centre not in self.data_centres():
            detail = f"unknown data centre {message.data_centre!r}"
            return Refusal(Reason.BAD_REQUEST, True, None, detail)
        if self._is_active(message.data_centre) != message.active:
            command = SetEvacuation(message.data_centre, message.active, message.expected_change)
            committed = await self._context.propose(command)
            if isinstance(committed, Refusal):
                return committed
        known = self._newest(message.data_centre)
        if self._is_active(message.data_centre) != message.active:
            return _conflict(message)
        change = known.change if known is not None else NO_CHANGE
        eliot.log_message(
            "directory:evacuation",
            data_centre=message.data_centre,
            active=message.active,
            change=change,
        )

        def is_applied(now: float) -> bool:
            return not self._context.sessions.with_older_evacuations(change, now)

        if not await self._context.wait_until_applied(is_applied):
            self._context.counters.add("directory.evacuation_not_everywhere")
        if not self._context.holds_lease():
            return Refusal(Reason.MAY_HAVE_RUN, False, None, "the leader changed")
        newest = self._newest(message.data_centre)
        if newest != known:
            return _conflict(message)
        return Evacuated(newest or _never_evacuated(message.data_centre))

    async def read(self, message: ReadEvacuations) -> Any:
        """Return the newest evacuations, after a quorum confirmed that none newer is committed."""
        confirmed = await self._context.confirm_read()
        if isinstance(confirmed, Refusal):
            return confirmed
        evacuations = self._context.state.evacuation_by_data_centre.values()
        return EvacuationsRead(tuple(evacuations), self.data_centres())

    def data_centres(self) -> tuple[str, ...]:
        """Return all known data centres: those of the settings, the daemons and the endpoints."""
        context = self._context
        settings = context.settings
        found = {settings.data_centre, *settings.region_by_data_centre}
        found.update(context.sessions.data_centres())
        found.update(one.record.data_centre for one in context.endpoints.table.records())
        found.update(context.state.evacuation_by_data_centre)
        return tuple(sorted(found))

    def _newest(self, data_centre: str) -> Evacuation | None:
        return self._context.state.evacuation_by_data_centre.get(data_centre)

    def _is_active(self, data_centre: str) -> bool:
        newest = self._newest(data_centre)
        return newest is not None and newest.active


def _never_evacuated(data_centre: str) -> Evacuation:
    return Evacuation(data_centre, NO_CHANGE, active=False)


def _conflict(message: Evacuate) -> Refusal:
    detail = f"another operator changed the evacuation of {message.data_centre!r} first"
    return Refusal(Reason.CONFLICT, True, SESSION_ACTIVE_S, detail)


__all__ = ["Evacuations"]
