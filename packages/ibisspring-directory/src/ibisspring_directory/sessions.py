"""Which daemons are in touch with the directory's leader, and what they have taken in."""

from __future__ import annotations

import statistics
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ibisspring_core.messages.directory import Member, Renew

# Daemons renew at least every half second, so that two renewals may be lost before one is taken
# for out of touch. A shorter time would answer an operator before a slow daemon has the change.
IN_TOUCH_S = 1.2
FORGET_S = 30.0


@dataclass(frozen=True)
class Session:
    """
    The newest renewal of a daemon.

    :param heard_at: when it arrived, in seconds on the leader's boot clock.
    """

    renew: Renew
    heard_at: float


class Sessions:
    """Sessions by the daemons' peer address; `now` is always given."""

    def __init__(self) -> None:
        self._session_by_address: dict[str, Session] = {}

    def clear(self) -> None:
        """Forget all, when this daemon becomes the leader."""
        self._session_by_address.clear()

    def take(self, renew: Renew, now: float) -> bool:
        """
        Take in a renewal.

        :return: whether the daemon is new or started again.
        """
        known = self._session_by_address.get(renew.address)
        self._session_by_address[renew.address] = Session(renew, now)
        return known is None or known.renew.incarnation != renew.incarnation

    def forget(self, now: float) -> None:
        """Drop daemons that were silent for long."""
        for address, session in list(self._session_by_address.items()):
            if now - session.heard_at > FORGET_S:
                del self._session_by_address[address]

    def in_touch(self, now: float, role: str, within_s: float = IN_TOUCH_S) -> tuple[Session, ...]:
        """
        Find the daemons of a role that renewed lately.

        :param within_s: what counts as lately, in seconds.
        :return: their sessions.
        """
        found = []
        for session in self._session_by_address.values():
            if session.renew.role == role and now - session.heard_at <= within_s:
                found.append(session)
        return tuple(found)

    def lacking(self, table_version: int, now: float) -> tuple[str, ...]:
        """
        Find the entries in touch where an older route table is in force.

        :return: their names.
        """
        found = []
        for session in self.in_touch(now, "entry"):
            if session.renew.table_version < table_version:
                found.append(session.renew.daemon)
        return tuple(found)

    def members(self, now: float, role: str, within_s: float = IN_TOUCH_S) -> tuple[Member, ...]:
        """
        Find the disks of a role's daemons in touch.

        :param within_s: what counts as in touch, in seconds.
        :return: them, sorted by address.
        """
        found = []
        for session in self.in_touch(now, role, within_s):
            if session.renew.member is not None:
                found.append(session.renew.member)
        return tuple(sorted(found, key=lambda member: member.address))

    def address_of(self, daemon: str) -> str | None:
        """
        Find a daemon by its name.

        :return: its peer address; None for one that was never heard.
        """
        for address, session in self._session_by_address.items():
            if session.renew.daemon == daemon:
                return address
        return None

    def job_leader(self, now: float) -> Session | None:
        """
        Find the store that leads the jobs' log.

        :return: the one that said so last; None where none did.
        """
        leaders = [one for one in self.in_touch(now, "store") if one.renew.leads_jobs]
        return max(leaders, key=lambda one: one.heard_at, default=None)

    def demand(self, service: str, now: float) -> int:
        """The most items of a service that were to be run at a time lately."""
        leader = self.job_leader(now)
        return dict(leader.renew.demand).get(service, 0) if leader is not None else 0

    def wall_offset_s(self, now: float, own_offset_s: float) -> float:
        """
        Agree on the time of day.

        The wall clock of some VMs may be seconds off, the leader's among them. The median of all
        that are in touch is right while fewer than half of them are off.

        :param own_offset_s: the leader's wall clock less its boot clock.
        :return: what to add to the leader's boot clock.
        """
        offsets = [own_offset_s]
        for session in self._session_by_address.values():
            if now - session.heard_at <= IN_TOUCH_S and session.renew.wall_s:
                offsets.append(session.renew.wall_s - session.heard_at)
        return statistics.median_low(offsets)


__all__ = ["IN_TOUCH_S", "Session", "Sessions"]
