"""
Sessions of the daemons at the directory's leader: their newest renewals and when these arrived.

A renewal is the message by which a daemon reports, at least twice a second, that it is alive.
"""

from __future__ import annotations

import statistics
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ibisspring_core.messages.directory import Member, Renew

# Seconds after a daemon's last renewal for which its session is active. Daemons renew at least
# every half second, so two renewals in a row may be lost. With a shorter time, an operator's change
# would be confirmed before a slow daemon has received it.
SESSION_ACTIVE_S = 1.2
FORGET_S = 30.0


@dataclass(frozen=True)
class Session:
    """
    The newest renewal of a daemon, and when it arrived.

    :param received_at: when the renewal arrived, in seconds on the leader's boot clock.
    """

    renew: Renew
    received_at: float


class Sessions:
    """
    Sessions by peer address of the daemon.

    Callers pass the current time as `now`, in seconds on the leader's boot clock.
    """

    def __init__(self) -> None:
        self._session_by_address: dict[str, Session] = {}

    def clear(self) -> None:
        """Remove all sessions when this daemon becomes the leader: they may be outdated."""
        self._session_by_address.clear()

    def record(self, renew: Renew, now: float) -> bool:
        """
        Record a daemon's renewal as its session.

        :return: whether the daemon had no session or was restarted since its last renewal.
        """
        known = self._session_by_address.get(renew.address)
        self._session_by_address[renew.address] = Session(renew, now)
        return known is None or known.renew.incarnation != renew.incarnation

    def remove_expired(self, now: float) -> None:
        """Remove the sessions without a renewal for FORGET_S seconds."""
        for address, session in list(self._session_by_address.items()):
            if now - session.received_at > FORGET_S:
                del self._session_by_address[address]

    def active(
        self, now: float, role: str, within_s: float = SESSION_ACTIVE_S
    ) -> tuple[Session, ...]:
        """
        Find the active sessions of the daemons in a role.

        :param role: `entry`, `store` or `control`.
        :param within_s: longest time since the last renewal, in seconds.
        """
        found = []
        for session in self._session_by_address.values():
            if session.renew.role == role and now - session.received_at <= within_s:
                found.append(session)
        return tuple(found)

    def with_older_table(self, table_version: int, now: float) -> tuple[str, ...]:
        """
        Find the active entries that use an older route table than the given version.

        :param table_version: version that all entries are to use.
        :return: names of the entries that do not use it yet.
        """
        found = []
        for session in self.active(now, "entry"):
            if session.renew.table_version < table_version:
                found.append(session.renew.daemon)
        return tuple(found)

    def with_older_evacuations(self, change: int, now: float) -> tuple[str, ...]:
        """
        Find the active entries and stores whose view lacks a change of an evacuation.

        :param change: number of the change that all of them are to have.
        :return: names of the daemons that do not have it yet.
        """
        found = []
        for role in ("entry", "store"):
            for session in self.active(now, role):
                if session.renew.evacuation_change < change:
                    found.append(session.renew.daemon)
        return tuple(found)

    def members(
        self, now: float, role: str, within_s: float = SESSION_ACTIVE_S
    ) -> tuple[Member, ...]:
        """
        Find the active daemons of a role that may hold a replica of a log.

        :param within_s: longest time since the last renewal, in seconds.
        :return: address, disk id and data centre of each of them as Member, sorted by address.
        """
        found = []
        for session in self.active(now, role, within_s):
            if session.renew.member is not None:
                found.append(session.renew.member)
        return tuple(sorted(found, key=lambda member: member.address))

    def data_centres(self) -> frozenset[str]:
        """Return the data centres of all daemons with a session."""
        sessions = self._session_by_address.values()
        return frozenset(session.renew.data_centre for session in sessions)

    def address_of(self, daemon: str) -> str | None:
        """
        Find a daemon's peer address by its name.

        :return: the address; None where the daemon has no session.
        """
        for address, session in self._session_by_address.items():
            if session.renew.daemon == daemon:
                return address
        return None

    def job_leader(self, now: float) -> Session | None:
        """
        Find the store that is the leader of the jobs' log.

        :return: session of the active store that was the last to report that it is the leader; None
            where no active store reports this.
        """
        leaders = [session for session in self.active(now, "store") if session.renew.leads_jobs]
        return max(leaders, key=lambda session: session.received_at, default=None)

    def demand(self, service: str, now: float) -> int:
        """
        Recent maximum number of items of a service that were to run at the same time.

        :return: the number that the jobs' leader sent with its last renewal; 0 where this leader is
            unknown or sent no number for the service.
        """
        leader = self.job_leader(now)
        return dict(leader.renew.demand).get(service, 0) if leader is not None else 0

    def wall_offset_s(self, now: float, own_offset_s: float) -> float:
        """
        Estimate the correct wall-clock time from the clocks of all daemons.

        The wall clocks of some VMs, possibly the leader's, may be wrong by seconds. The median over
        all active sessions is right while fewer than half of the clocks are wrong.

        :param own_offset_s: the leader's wall clock minus its boot clock, in seconds.
        :return: seconds to add to the leader's boot clock, to get seconds since 1970.
        """
        offsets = [own_offset_s]
        for session in self._session_by_address.values():
            if now - session.received_at <= SESSION_ACTIVE_S and session.renew.wall_s:
                offsets.append(session.renew.wall_s - session.received_at)
        return statistics.median_low(offsets)


__all__ = ["SESSION_ACTIVE_S", "Session", "Sessions"]
