"""When this replica may act as the one process in charge."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from ibisspring_core.settings import ControlSettings


@dataclass(frozen=True)
class Leadership:
    """
    One spell of leadership.

    :param term: the term in which this replica leads.
    :param acts_from_s: boot-clock seconds from which it may send.
    """

    term: int
    acts_from_s: float


class LeadershipWatch:
    """Follows the leadership of this replica and says what is left of its lease."""

    def __init__(self, consensus: Any, wait_s: float) -> None:
        self._consensus = consensus
        self._wait_s = wait_s
        self._leadership: Leadership | None = None

    @classmethod
    def from_config(cls, consensus: Any, settings: ControlSettings) -> LeadershipWatch:
        """
        Build the watch.

        A new leader sends nothing until the old leader's lease and one whole order timeout are
        over. Without that wait an order which the old leader sent in its last moment could still be
        under way when the new leader's first one arrives: the receiver would hear two senders, and
        one that ignores fencing numbers could not tell which to follow.

        :param consensus: the service `consensus`.
        :param settings: lease and order timeout, equal on all control daemons.
        :return: the watch.
        """
        return cls(consensus, settings.leader_lease_s + settings.order_timeout_s)

    def current(self, now: float) -> Leadership | None:
        """
        Find the leadership in which this replica may send right now.

        :param now: boot-clock seconds.
        :return: the leadership, or None while it follows or still waits for its predecessor.
        """
        if not self._consensus.is_leader:
            self._leadership = None
            return None
        term = self._consensus.term
        if self._leadership is None or self._leadership.term != term:
            self._leadership = Leadership(term, now + self._wait_s)
        if now < self._leadership.acts_from_s:
            return None
        return self._leadership

    def lease_left_s(self, leadership: Leadership) -> float:
        """
        Read what is left of the lease under which a leadership acts.

        :param leadership: from `current`.
        :return: seconds; 0 once the lease lapsed or another term began, also if this replica leads
            again.
        """
        if not self._consensus.is_leader or self._consensus.term != leadership.term:
            return 0.0
        return max(0.0, self._consensus.lease_left_s())


__all__ = ["Leadership", "LeadershipWatch"]
