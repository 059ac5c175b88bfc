"""
Lines of the fair queue: what waits of one client account, in its order.

Load pattern: thousands of requests wait at one entry, of a few accounts; each arrival and each free
slot asks for the first of a line, and now and then for the last, or for the work ahead of a place.

Without it: one list for all is sorted anew at each arrival, which at 2,000 that wait costs more
than forwarding a request; and an account's share cannot be told from its length in line.

Grounds: a heap a line makes an arrival and a start cost the logarithm of the line; the seconds that
wait are kept as a sum, since every refusal asks for them. `MOST_OF_PATIENCE` 0.9: callers ask for a
bound of tokens and usually get fewer; by the estimate for the bound alone they would be refused for
ever, on an idle system too, so an item never counts for more than this part of its patience.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field

MOST_OF_PATIENCE = 0.9


@dataclass(frozen=True)
class Item:
    """
    A request that waits for a slot.

    :param item_id: unique among those that wait.
    :param cost_s: expected seconds of work.
    :param deadline_s: when its caller stops waiting, on the clock of `now`.
    """

    item_id: str
    client_account: str
    cost_s: float
    deadline_s: float

    @classmethod
    def from_estimate(
        cls, item_id: str, client_account: str, estimate_s: float, patience_s: float, now: float
    ) -> Item:
        """
        Build an item whose own estimate never makes it hopeless; only waiting may.

        :param estimate_s: expected seconds of work.
        :param patience_s: seconds that its caller waits for the whole answer.
        :return: the item, expected to take at most `MOST_OF_PATIENCE` of the patience.
        """
        cost_s = min(estimate_s, MOST_OF_PATIENCE * patience_s)
        return cls(item_id, client_account, cost_s, now + patience_s)


@dataclass
class Line:
    """What waits of one account: a heap by order, and its charge in virtual seconds."""

    weight: float
    charged: float = 0.0
    promised_s: float = 0.0
    heap: list[tuple[float, int, Item]] = field(default_factory=list)
    waiting_s: float = 0.0

    def push(self, order: float, number: int, item: Item) -> None:
        """Put an item in line."""
        heapq.heappush(self.heap, (order, number, item))
        self.waiting_s += item.cost_s

    def pop(self) -> Item:
        """Take the first item."""
        item = heapq.heappop(self.heap)[2]
        self.waiting_s = max(0.0, self.waiting_s - item.cost_s)
        return item

    def pop_last(self) -> Item:
        """Take the last item."""
        entry = max(self.heap)
        self.keep([other for other in self.heap if other is not entry])
        return entry[2]

    def keep(self, entries: list[tuple[float, int, Item]]) -> None:
        """Keep only these entries."""
        heapq.heapify(entries)
        self.heap = entries
        self.waiting_s = sum(entry[2].cost_s for entry in entries)

    def ahead_s(self, order: float) -> float:
        """Seconds of work in line up to an order."""
        return sum(entry[2].cost_s for entry in self.heap if entry[0] <= order)


def charged(line: Line) -> float:
    """Virtual seconds that a line was charged; the least goes next."""
    return line.charged


def length(line: Line) -> float:
    """Waiting seconds of a line for its weight; the longest gives way."""
    return line.waiting_s / line.weight


__all__ = ["Item", "Line", "charged", "length"]
