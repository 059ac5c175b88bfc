"""When this replica may act as the one process in charge."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from ibisspring_core.settings import ControlSettings


@dataclass(frozen=True)
class Tenure:
    """
    One spell of leadership.

    :param term: the term in which this replica leads.
    :param acts_from_s: boot-clock seconds from which it may send.
    """

    term: int
    acts_from_s: float


class TenureWatch:
    """Follows the leadership of this replica and says what is left of its lease."""

    def __init__(self, consensus: Any, wait_s: float) -> None:
        self._consensus = consensus
        self._wait_s = wait_s
        self._tenure: Tenure | None = None

    @classmethod
    def from_config(cls, consensus: Any, settings: ControlSettings) -> TenureWatch:
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

    def current(self, now: float) -> Tenure | None:
        """
        Find the tenure in which this replica may send right now.

        :param now: boot-clock seconds.
        :return: the tenure, or None while it follows or still waits for its predecessor.
        """
        if not self._consensus.is_leader:
            self._tenure = None
            return None
        term = self._consensus.term
        if self._tenure is None or self._tenure.term != term:
            self._tenure = Tenure(term, now + self._wait_s)
        if now < self._tenure.acts_from_s:
            return None
        return self._tenure

    def lease_left_s(self, tenure: Tenure) -> float:
        """
        Read what is left of the lease under which a tenure acts.

        :param tenure: from `current`.
        :return: seconds; 0 once the lease lapsed or another term began, also if this replica leads
            again.
        """
        if not self._consensus.is_leader or self._consensus.term != tenure.term:
            return 0.0
        return max(0.0, self._consensus.lease_left_s())


__all__ = ["Tenure", "TenureWatch"]
