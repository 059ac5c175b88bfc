"""
Weighted fair queue over client accounts, in front of a limited number of slots.

During a long overload, a first-come, first-served queue gives each account a share in proportion to
its arrivals. One account that sends ten times as much as the others then starves these, short
lookups wait behind minutes of long generations, and slots are spent on requests whose callers have
already timed out, so that no caller is answered in time although the endpoints are busy.

This queue decides as follows:

- Between accounts: start-time fair queueing. Each started request charges its account the expected
  seconds of work divided by the account's weight, and the account with the lowest charge is served
  next. An idle account accumulates no credit.
- Within an account: in order of arrival time plus `OVERTAKING_FACTOR` times the expected seconds of
  work. A short request overtakes a long one only for a time in proportion to the long one's
  expected work, so that long requests do not starve.
- Deadlines: a request that is expected to miss its deadline, given the work queued for its account
  and the account's share of the slots, is rejected on arrival. A queued request that can no longer
  finish before its deadline is rejected as soon as this is detected and is never started. Expected
  work is limited to 0.9 of the request's time limit (see `Item.from_estimate`).
- Rejections: each one states after how many seconds a similar request is expected to be accepted.
  The retry times of one account are spaced by the time that the rejected work takes, so that
  callers who retry at these times do not arrive all at once.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ibisspring_decisions.queue_lines import AccountQueue, Item, charge_of, weighted_backlog_s

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

# Seconds by which a request is moved back in its account's queue for each second of its expected
# work: short requests overtake a long one for at most four times the long one's expected seconds.
# A lookup that arrives a few seconds after a batch of long work does not wait behind all of it.
OVERTAKING_FACTOR = 4.0
# Largest number of queued requests of all accounts at one entry: minutes of arrivals, which at some
# kilobytes each fit into an entry's memory.
MAX_WAITING = 2_000
MIN_RETRY_AFTER_S = 0.1
# Longest retry time in seconds that a rejection states: an estimate beyond 60 s is too uncertain.
MAX_RETRY_AFTER_S = 60.0
DEFAULT_WEIGHT = 1.0


@dataclass(frozen=True)
class ShedRequest:
    """
    A request that is rejected without having run.

    :param full: whether it was removed because the queue was full; otherwise it cannot finish
        before its deadline.
    :param retry_after_s: seconds until a similar request is expected to be accepted.
    """

    item: Item
    full: bool
    retry_after_s: float


@dataclass(frozen=True)
class TakeResult:
    """
    Result of `FairQueue.take`.

    :param item: the request to start now; None if the queue is empty.
    :param shed: requests that can no longer finish before their deadlines, to be rejected now.
    """

    item: Item | None
    shed: tuple[ShedRequest, ...] = ()


class FairQueue:
    """
    Requests that wait for a slot, queued by client account.

    `slots` is the number of requests that may run at a time and may be set at any time;
    `queued_count` is the number of queued requests. Every `now` is in seconds on one steady clock.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.queued_count = 0
        self._weight_by_client_account: dict[str, float] = {}
        self._queue_by_client_account: dict[str, AccountQueue] = {}
        self._virtual_time_s = 0.0
        self._arrival_number = 0
        self._expected_end_by_item: dict[str, float] = {}

    @classmethod
    def from_weights(cls, weight_by_client_account: Mapping[str, float], slots: int) -> FairQueue:
        """
        Build a queue without requests for accounts with the given weights.

        :param weight_by_client_account: relative shares of the slots while all accounts have queued
            requests; an account that is not listed has `DEFAULT_WEIGHT`.
        :param slots: requests that the endpoints work on at a time.
        """
        queue = cls(slots)
        queue.set_weights(weight_by_client_account)
        return queue

    def set_weights(self, weight_by_client_account: Mapping[str, float]) -> None:
        """
        Replace the weights of all accounts; queued requests and charges are kept.

        :param weight_by_client_account: relative shares of the slots, as in `from_weights`.
        """
        self._weight_by_client_account = dict(weight_by_client_account)
        for name, queue in self._queue_by_client_account.items():
            queue.weight = self._weight(name)

    def offer(self, item: Item, now: float) -> tuple[ShedRequest, ...]:
        """
        Queue a request, or reject it if it is expected to miss its deadline.

        If the queue becomes longer than `MAX_WAITING`, the account with the longest queue for its
        weight loses its last request, so that an account with many requests cannot keep the other
        accounts out of the queue.

        :return: the rejected requests: none, the item itself, or the last request of the longest
            queue.
        """
        queue = self._account_queue(item.client_account)
        sort_key = now + OVERTAKING_FACTOR * item.cost_s
        late_s = self._expected_finish_s(queue, sort_key, item, now) - item.deadline_s
        if late_s > 0.0:
            return (ShedRequest(item, False, self._retry_after_s(queue, item, late_s, now)),)
        self._arrival_number += 1
        queue.push(sort_key, self._arrival_number, item)
        self.queued_count += 1
        if self.queued_count <= MAX_WAITING:
            return ()
        longest = max(self._queue_by_client_account.values(), key=weighted_backlog_s)
        dropped = longest.pop_last()
        self.queued_count -= 1
        backlog_s = longest.backlog_s / self._fair_slots(longest)
        return (ShedRequest(dropped, True, self._retry_after_s(longest, dropped, backlog_s, now)),)

    def take(self, now: float) -> TakeResult:
        """
        Remove the next request to start; to be called whenever a slot is free.

        :return: the request, and those queued before it that can no longer finish before their
            deadlines.
        """
        shed: list[ShedRequest] = []
        while True:
            queue = self._next_queue()
            if queue is None:
                return TakeResult(None, tuple(shed))
            item = queue.pop()
            self.queued_count -= 1
            late_s = now + item.cost_s - item.deadline_s
            if late_s > 0.0:
                shed.append(ShedRequest(item, False, self._retry_after_s(queue, item, late_s, now)))
                continue
            # An account that was idle starts at the charge of the account served last. With its own
            # old, lower charge, this account would get all slots until its charge had reached that
            # of the other accounts.
            self._virtual_time_s = max(self._virtual_time_s, queue.charge_s)
            queue.charge_s = self._virtual_time_s + item.cost_s / queue.weight
            self._expected_end_by_item[item.item_id] = now + item.cost_s
            return TakeResult(item, tuple(shed))

    def shed_expired(self, now: float) -> tuple[ShedRequest, ...]:
        """
        Remove and reject all queued requests that can no longer finish before their deadlines.

        `take` finds such requests only when a slot is free. This method is to be called a few times
        a second, so that they are rejected promptly while all slots are busy.

        :return: the rejected requests.
        """
        shed: list[ShedRequest] = []
        for item in self.remove(lambda item: now + item.cost_s > item.deadline_s):
            queue = self._account_queue(item.client_account)
            late_s = now + item.cost_s - item.deadline_s
            shed.append(ShedRequest(item, False, self._retry_after_s(queue, item, late_s, now)))
        return tuple(shed)

    def remove(self, matches: Callable[[Item], bool]) -> tuple[Item, ...]:
        """
        Remove queued requests, for example those whose caller disconnected or whose API key was
        withdrawn.

        :param matches: returns True for each request to remove.
        :return: the removed requests.
        """
        removed: list[Item] = []
        for queue in self._queue_by_client_account.values():
            matched = [queued[2] for queued in queue.heap if matches(queued[2])]
            if not matched:
                continue
            removed.extend(matched)
            queue.keep([queued for queued in queue.heap if not matches(queued[2])])
        self.queued_count -= len(removed)
        return tuple(removed)

    def charge_actual_time(self, item: Item, actual_s: float) -> None:
        """
        Replace the expected seconds in the account's charge by the actual ones; to be called for
        each request that ended.

        Without this correction, an account whose work takes longer than expected would get more
        than its share.

        :param item: a request that `take` returned.
        :param actual_s: seconds that the request occupied its slot.
        """
        self._expected_end_by_item.pop(item.item_id, None)
        queue = self._account_queue(item.client_account)
        queue.charge_s += (actual_s - item.cost_s) / queue.weight

    def _weight(self, client_account: str) -> float:
        return self._weight_by_client_account.get(client_account, DEFAULT_WEIGHT)

    def _account_queue(self, client_account: str) -> AccountQueue:
        queue = self._queue_by_client_account.get(client_account)
        if queue is None:
            queue = AccountQueue(self._weight(client_account))
            self._queue_by_client_account[client_account] = queue
        return queue

    def _next_queue(self) -> AccountQueue | None:
        """Return the non-empty queue with the lowest charge."""
        non_empty = [queue for queue in self._queue_by_client_account.values() if queue.heap]
        return min(non_empty, key=charge_of) if non_empty else None

    def _expected_finish_s(
        self, queue: AccountQueue, sort_key: float, item: Item, now: float
    ) -> float:
        """
        Return the time, on the clock of `now`, at which an item queued at `sort_key` should finish.
        """
        wait_s = self._until_slot_free_s(now) + queue.ahead_s(sort_key) / self._fair_slots(queue)
        return now + wait_s + item.cost_s

    def _until_slot_free_s(self, now: float) -> float:
        """Return the seconds until a slot is free, by the expected ends of running requests."""
        for item_id in [
            item_id for item_id, end in self._expected_end_by_item.items() if end <= now
        ]:
            del self._expected_end_by_item[item_id]
        excess = len(self._expected_end_by_item) - max(1, self.slots)
        if excess < 0:
            return 0.0
        return sorted(self._expected_end_by_item.values())[excess] - now

    def _retry_after_s(self, queue: AccountQueue, item: Item, late_s: float, now: float) -> float:
        """
        Return the seconds until a request like the rejected one should be accepted, later than all
        retry times that were sent to the account before.

        :param late_s: seconds by which the rejected request would miss its deadline; for a full
            queue, seconds until the account's queued work is done.
        """
        # Slots become free one complete request at a time, so one request's expected seconds are
        # added to the estimate.
        fits_s = now + late_s + item.cost_s
        queue.last_retry_s = max(fits_s, queue.last_retry_s + item.cost_s / self._fair_slots(queue))
        queue.last_retry_s = min(queue.last_retry_s, now + MAX_RETRY_AFTER_S)
        return max(MIN_RETRY_AFTER_S, queue.last_retry_s - now)

    def _fair_slots(self, queue: AccountQueue) -> float:
        """Return an account's share of the slots among all accounts with queued requests."""
        others = self._queue_by_client_account.values()
        weights = sum(other.weight for other in others if other.heap and other is not queue)
        return max(1, self.slots) * queue.weight / (queue.weight + weights)


__all__ = ["FairQueue", "Item", "ShedRequest", "TakeResult"]
