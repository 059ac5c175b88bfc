"""
Queue of one client account's requests, the building block of the fair queue.

Thousands of requests of a few accounts wait at one entry. Each arrival and each free slot needs the
first request of an account's queue; some decisions need the last request, or the work of all
requests before a position in the queue. A single list of all requests would have to be sorted at
each arrival, which costs more than forwarding a request when 2,000 are queued, and an account's
share could not be derived from the length of its queue.

Each account therefore has a heap of its own, so that the arrival and the start of a request take
time logarithmic in the length of that queue. The queued seconds of work are kept as a sum, because
each rejection from a full queue needs them.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field

# Largest expected work of a request, as a share of its wait limit; a tenth of the limit is left for
# queueing. Callers ask for an upper bound of tokens and usually get fewer: with the estimate for
# the bound itself, such a request would always be rejected, on an idle system too.
MAX_COST_SHARE = 0.9


@dataclass(frozen=True)
class Item:
    """
    A request that waits for a slot.

    :param item_id: unique among the queued requests.
    :param cost_s: expected seconds of work.
    :param deadline_s: time at which the caller stops waiting for the response, in seconds on the
        clock of the queue's `now`.
    """

    item_id: str
    client_account: str
    cost_s: float
    deadline_s: float

    @classmethod
    def from_estimate(
        cls, item_id: str, client_account: str, estimate_s: float, wait_limit_s: float, now: float
    ) -> Item:
        """
        Build an item that finishes before its deadline if it starts at once, whatever its estimate.

        Only time spent in the queue can make such an item miss its deadline.

        :param estimate_s: expected seconds of work.
        :param wait_limit_s: seconds that the caller waits for the complete response.
        :return: the item; its `cost_s` is at most `MAX_COST_SHARE` of the wait limit.
        """
        cost_s = min(estimate_s, MAX_COST_SHARE * wait_limit_s)
        return cls(item_id, client_account, cost_s, now + wait_limit_s)


@dataclass
class AccountQueue:
    """
    Queued requests of one client account, with the state that the fair queue keeps for it.

    :param weight: relative share of the slots that the account gets.
    :param charge_s: virtual seconds charged to the account: seconds of its started work, divided by
        its weight.
    :param last_retry_s: retry time computed for the account's most recent rejection, never earlier
        than those computed before, in seconds on the clock of the fair queue's `now`.
    :param heap: (sort key, arrival number, item), lowest first.
    :param backlog_s: expected seconds of work of all queued items.
    """

    weight: float
    charge_s: float = 0.0
    last_retry_s: float = 0.0
    heap: list[tuple[float, int, Item]] = field(default_factory=list)
    backlog_s: float = 0.0

    def push(self, sort_key: float, arrival_number: int, item: Item) -> None:
        """
        Add an item.

        :param sort_key: position in the queue, lowest first.
        :param arrival_number: unique number that orders items with equal sort keys.
        """
        heapq.heappush(self.heap, (sort_key, arrival_number, item))
        self.backlog_s += item.cost_s

    def pop(self) -> Item:
        """Remove and return the first item."""
        item = heapq.heappop(self.heap)[2]
        self.backlog_s = max(0.0, self.backlog_s - item.cost_s)
        return item

    def pop_last(self) -> Item:
        """Remove and return the last item."""
        last = max(self.heap)
        self.keep([other for other in self.heap if other is not last])
        return last[2]

    def keep(self, retained: list[tuple[float, int, Item]]) -> None:
        """
        Replace the queue's content.

        :param retained: heap entries to keep, in any order; the list is reordered in place.
        """
        heapq.heapify(retained)
        self.heap = retained
        self.backlog_s = sum(queued[2].cost_s for queued in retained)

    def ahead_s(self, sort_key: float) -> float:
        """Return the expected seconds of work of all items with at most this sort key."""
        return sum(queued[2].cost_s for queued in self.heap if queued[0] <= sort_key)


def charge_of(queue: AccountQueue) -> float:
    """
    Return an account's charge in virtual seconds; the account with the lowest charge is served
    next.
    """
    return queue.charge_s


def weighted_backlog_s(queue: AccountQueue) -> float:
    """
    Return the account's queued seconds of work divided by its weight. When the fair queue is full,
    the account with the highest value loses its last request.
    """
    return queue.backlog_s / queue.weight


__all__ = ["AccountQueue", "Item", "charge_of", "weighted_backlog_s"]
