"""
Who waits: a weighted fair queue over client accounts in front of limited slots.

Load pattern: the endpoints are full; one account sends ten times what the others do; a job of long
generations arrives among short lookups; the overload lasts longer than callers wait.

Without it: first come, first served gives an account its share of the arrivals, so one hot account
starves all others; short lookups wait behind minutes of long work; and requests whose callers have
given up are still worked on, so that nobody gets an answer in time though the endpoints are busy.

How it decides:

- Between accounts: start-time fair queueing. An account is charged the expected seconds of its work
  divided by its weight, and the account charged least goes next. An idle account saves up nothing.
- Within an account: by arrival plus `PATIENCE` times the expected seconds. A short request passes
  a long one, but only for a time in proportion to the long one's own length, so that it never
  starves.
- A request that cannot finish before its deadline, by what its account has in line and its share of
  the slots, is refused when it comes; one that has become hopeless in line is refused as soon as
  that is known and is never started.
- Who is refused is told when such a request would fit, each one later than the one before by the
  time that its work takes, so that those who come back as told do not come together.

Grounds for the figures:

- `PATIENCE` 4.0: a long request is passed by short ones for at most four times its own length; at
  1.0 lookups that came a few seconds after a batch of long work still waited behind all of it.
- `MOST_OF_PATIENCE` 0.9: callers ask for a bound of tokens and usually get fewer; by the estimate
  for the bound alone they would be refused for ever, on an idle system too. Such a request may
  wait a tenth of its patience.
- `MAX_WAITING` 2,000: with 3,600 requests a second over 380 entries that is minutes of arrivals at
  one entry; at some kilobytes each it fits the memory of an entry.
- When it is full, the account with the longest line for its weight gives up its last request: a hot
  account cannot fill the queue against the others.
- `MAX_RETRY_AFTER_S` 60 s: a longer estimate is not worth promising.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ibisspring_decisions.queue_lines import Item, Line, charged, length

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

PATIENCE = 4.0
MAX_WAITING = 2_000
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 60.0
DEFAULT_WEIGHT = 1.0


@dataclass(frozen=True)
class Shed:
    """
    A request that is refused without having run.

    :param full: the queue was full; otherwise it cannot finish before its deadline.
    :param retry_after_s: when a request like it would fit.
    """

    item: Item
    full: bool
    retry_after_s: float


@dataclass(frozen=True)
class Turn:
    """
    What `take` gives.

    :param item: starts now; None where nothing waits.
    :param shed: have become hopeless and are to be answered at once.
    """

    item: Item | None
    shed: tuple[Shed, ...] = ()


class FairQueue:
    """Requests that wait, by client account."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.waiting = 0
        self._weight_by_client_account: dict[str, float] = {}
        self._line_by_client_account: dict[str, Line] = {}
        self._virtual = 0.0
        self._number = 0
        self._end_by_item: dict[str, float] = {}

    @classmethod
    def from_weights(cls, weight_by_client_account: Mapping[str, float], slots: int) -> FairQueue:
        """
        Build an empty queue.

        :param weight_by_client_account: share of the slots when all are wanted.
        :param slots: requests that the endpoints behind work on at a time.
        :return: the queue.
        """
        queue = cls(slots)
        queue.follow_weights(weight_by_client_account)
        return queue

    def follow_weights(self, weight_by_client_account: Mapping[str, float]) -> None:
        """
        Go on under changed weights.

        :param weight_by_client_account: as in `from_weights`.
        """
        self._weight_by_client_account = dict(weight_by_client_account)
        for name, line in self._line_by_client_account.items():
            line.weight = self._weight(name)

    def offer(self, item: Item, now: float) -> tuple[Shed, ...]:
        """
        Put a request in line, or refuse it now when waiting is hopeless.

        :return: what is refused for it: nothing, the item itself, or another account's last one.
        """
        line = self._line(item.client_account)
        order = now + PATIENCE * item.cost_s
        late_s = self._finish_s(line, order, item, now) - item.deadline_s
        if late_s > 0.0:
            return (Shed(item, False, self._promise_s(line, item, late_s, now)),)
        self._number += 1
        line.push(order, self._number, item)
        self.waiting += 1
        if self.waiting <= MAX_WAITING:
            return ()
        longest = max(self._line_by_client_account.values(), key=length)
        dropped = longest.pop_last()
        self.waiting -= 1
        drain_s = longest.waiting_s / self._slots_of(longest)
        return (Shed(dropped, True, self._promise_s(longest, dropped, drain_s, now)),)

    def take(self, now: float) -> Turn:
        """
        Start the next request; call it whenever a slot is free.

        :return: the request, and those found hopeless on the way.
        """
        shed: list[Shed] = []
        while True:
            line = self._next_line()
            if line is None:
                return Turn(None, tuple(shed))
            item = line.pop()
            self.waiting -= 1
            late_s = now + item.cost_s - item.deadline_s
            if late_s > 0.0:
                shed.append(Shed(item, False, self._promise_s(line, item, late_s, now)))
                continue
            # An account that was idle is charged from where the others are now: turns saved up
            # while it was idle would give it all slots for as long.
            self._virtual = max(self._virtual, line.charged)
            line.charged = self._virtual + item.cost_s / line.weight
            self._end_by_item[item.item_id] = now + item.cost_s
            return Turn(item, tuple(shed))

    def expire(self, now: float) -> tuple[Shed, ...]:
        """
        Give up what can no longer finish, also while no slot gets free; call it a few times a
        second, so that a given-up request gets its final answer at once.

        :return: the hopeless requests.
        """
        shed: list[Shed] = []
        for item in self.remove(lambda item: now + item.cost_s > item.deadline_s):
            line = self._line(item.client_account)
            late_s = now + item.cost_s - item.deadline_s
            shed.append(Shed(item, False, self._promise_s(line, item, late_s, now)))
        return tuple(shed)

    def remove(self, matches: Callable[[Item], bool]) -> tuple[Item, ...]:
        """
        Take requests out of line: their caller left, or their key was withdrawn.

        :param matches: tells which.
        :return: what was taken out.
        """
        gone: list[Item] = []
        for line in self._line_by_client_account.values():
            matched = [entry[2] for entry in line.heap if matches(entry[2])]
            if not matched:
                continue
            gone.extend(matched)
            line.keep([entry for entry in line.heap if not matches(entry[2])])
        self.waiting -= len(gone)
        return tuple(gone)

    def correct(self, item: Item, real_s: float) -> None:
        """
        Charge what a request really took, so that an account whose work is longer than expected
        gets no more than its share; call it for each request that ended.

        :param item: from `take`.
        :param real_s: seconds that it held its slot.
        """
        self._end_by_item.pop(item.item_id, None)
        line = self._line(item.client_account)
        line.charged += (real_s - item.cost_s) / line.weight

    def _weight(self, client_account: str) -> float:
        return self._weight_by_client_account.get(client_account, DEFAULT_WEIGHT)

    def _line(self, client_account: str) -> Line:
        line = self._line_by_client_account.get(client_account)
        if line is None:
            line = Line(self._weight(client_account))
            self._line_by_client_account[client_account] = line
        return line

    def _next_line(self) -> Line | None:
        waiting = [line for line in self._line_by_client_account.values() if line.heap]
        return min(waiting, key=charged) if waiting else None

    def _finish_s(self, line: Line, order: float, item: Item, now: float) -> float:
        waited_s = self._until_free_s(now) + line.ahead_s(order) / self._slots_of(line)
        return now + waited_s + item.cost_s

    def _until_free_s(self, now: float) -> float:
        """Seconds until what runs now leaves a slot free, by its expected ends."""
        for item_id in [item_id for item_id, end in self._end_by_item.items() if end <= now]:
            del self._end_by_item[item_id]
        busy = len(self._end_by_item) - max(1, self.slots)
        if busy < 0:
            return 0.0
        return sorted(self._end_by_item.values())[busy] - now

    def _promise_s(self, line: Line, item: Item, late_s: float, now: float) -> float:
        """Seconds until a request like the refused one fits, after all that were told before."""
        # Slots get free in steps of whole requests, so one length is added to the estimate.
        fits_s = now + late_s + item.cost_s
        line.promised_s = max(fits_s, line.promised_s + item.cost_s / self._slots_of(line))
        line.promised_s = min(line.promised_s, now + MAX_RETRY_AFTER_S)
        return max(MIN_RETRY_AFTER_S, line.promised_s - now)

    def _slots_of(self, line: Line) -> float:
        """The slots that an account gets while those that wait now go on waiting."""
        others = self._line_by_client_account.values()
        weights = sum(other.weight for other in others if other.heap and other is not line)
        return max(1, self.slots) * line.weight / (line.weight + weights)


__all__ = ["FairQueue", "Item", "Shed", "Turn"]
