"""Determines when this replica may send orders and reports as the leader."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from ibisspring_core.settings import ControlSettings


@dataclass(frozen=True)
class Leadership:
    """
    Leadership of this replica in one consensus term.

    :param term: the term in which this replica is the leader.
    :param may_send_from_s: boot-clock seconds from which this replica may send orders and reports.
    """

    term: int
    may_send_from_s: float


class LeadershipWatch:
    """Tracks whether this replica is the leader, and the remaining time of its lease."""

    def __init__(self, consensus: Any, wait_s: float) -> None:
        self._consensus = consensus
        self._wait_s = wait_s
        self._leadership: Leadership | None = None

    @classmethod
    def from_config(cls, consensus: Any, settings: ControlSettings) -> LeadershipWatch:
        """
        Build the watch with the time that a new leader waits before it sends orders.

        A new leader sends nothing for the length of its predecessor's lease plus one order timeout.
        Without this wait, an order that the predecessor sent at the end of its lease could still be
        in flight when the new leader's first order arrives. The receiver would get orders from two
        leaders, and a receiver that ignores fencing numbers could not tell which one is current.

        :param consensus: the service `consensus`, asked for the leadership and its lease.
        :param settings: leader lease and order timeout, equal on all control daemons.
        """
        return cls(consensus, settings.leader_lease_s + settings.order_timeout_s)

    def current(self, now: float) -> Leadership | None:
        """
        Return the leadership in which this replica may send orders and reports now.

        :param now: boot-clock seconds.
        :return: None if this replica is a follower, or still waits for the end of the lease and the
            orders of the leader before it.
        """
        if not self._consensus.is_leader:
            self._leadership = None
            return None
        term = self._consensus.term
        if self._leadership is None or self._leadership.term != term:
            self._leadership = Leadership(term, now + self._wait_s)
        if now < self._leadership.may_send_from_s:
            return None
        return self._leadership

    def lease_left_s(self, leadership: Leadership) -> float:
        """
        Return the remaining time of the leader lease in the term of a leadership.

        :param leadership: a leadership that `current` returned.
        :return: seconds; 0 once the lease lapsed or a later term began, also if this replica is the
            leader of the later term.
        """
        if not self._consensus.is_leader or self._consensus.term != leadership.term:
            return 0.0
        return max(0.0, self._consensus.lease_left_s())


__all__ = ["Leadership", "LeadershipWatch"]
