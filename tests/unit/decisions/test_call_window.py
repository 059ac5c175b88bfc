from __future__ import annotations

import heapq

from ibisspring_decisions.call_window import (
    GROW_AFTER_WAIT_S,
    INITIAL_LIMIT,
    SHRINK_EVERY_S,
    CallWindow,
)

CAPACITY = 42
QUEUE_LENGTH = 14
CALL_S = 0.2
STEP_EVERY_S = 4.0
LOOKUP_S = 0.025
SENDERS = 5


class _Service:
    """Endpoints that run `CAPACITY` requests, queue `QUEUE_LENGTH` more and reject all others."""

    def __init__(self) -> None:
        self.ends: list[float] = []

    def take(self, now: float, work_s: float) -> float | None:
        """Accept a request and return its end time; return None if it is rejected."""
        self.ends = [end for end in self.ends if end > now]
        if len(self.ends) >= CAPACITY + QUEUE_LENGTH:
            return None
        begins = now if len(self.ends) < CAPACITY else sorted(self.ends)[-CAPACITY]
        self.ends.append(begins + work_s)
        return begins + work_s


def replay(windows: list[CallWindow] | None) -> tuple[int, float, float]:
    """
    Simulate the calls of four steps whose texts end together, beside a steady stream of lookups.

    :param windows: call window of each sender; with None each call is sent at once.
    :return: number of rejected lookups, share of lookups that waited in a queue, longest time in
        seconds from the end of a text to its score.
    """
    service = _Service()
    # At the end of each step 60 texts wait at each of five senders, seven times the capacity.
    queues = [[step * 4.0 for step in range(4) for _ in range(60)] for _ in range(SENDERS)]
    timed: list[tuple[float, str, int]] = [(n * 0.02, "lookup", 0) for n in range(800)]
    timed += [(at, "wake", sender) for sender in range(SENDERS) for at in (0.0, 4.0, 8.0, 12.0)]
    heapq.heapify(timed)
    ended_by_key: dict[tuple[float, int], list[bool]] = {}
    refused = waited = lookups = 0
    last_s = 0.0
    while timed:
        now, kind, sender = heapq.heappop(timed)
        if kind == "lookup":
            lookups += 1
            end = service.take(now, LOOKUP_S)
            refused += end is None
            waited += end is not None and end - now > 2 * LOOKUP_S
            continue
        for was_refused in ended_by_key.pop((now, sender), []):
            if windows is not None:
                windows[sender].call_ended(now, was_refused)
        queue = queues[sender]
        while queue and queue[0] <= now and (windows is None or windows[sender].has_capacity()):
            due = queue.pop(0)
            if windows is not None:
                windows[sender].call_started(now, now - due, CAPACITY)
            end = service.take(now, CALL_S)
            if end is None:
                queue.insert(0, due)
                retry_s = now + 0.05
                ended_by_key.setdefault((retry_s, sender), []).append(True)
                heapq.heappush(timed, (retry_s, "wake", sender))
                break
            last_s = max(last_s, end - due)
            ended_by_key.setdefault((end, sender), []).append(False)
            heapq.heappush(timed, (end, "wake", sender))
    return refused, waited / lookups, last_s


def test_lookups_are_served_while_the_calls_of_an_ending_step_run() -> None:
    # Texts end at five senders at the same time. Without call windows, the calls for these texts
    # would fill the slots and the queue of the endpoints: lookups of 25 ms would be rejected or
    # wait for the duration of a call.
    refused_unlimited, waited_unlimited, last_unlimited_s = replay(None)
    refused, waited, last_s = replay([CallWindow() for _ in range(SENDERS)])

    assert refused_unlimited > 0
    assert refused <= refused_unlimited / 10
    assert waited < waited_unlimited / 2
    # All calls of a step end before the calls of the next step start.
    assert last_unlimited_s < last_s < STEP_EVERY_S


def test_a_window_grows_only_while_calls_wait() -> None:
    # Each concurrent call needs a connection. A sender whose reward calls never wait must keep the
    # initial limit; a sender that makes the reward calls for all texts of an engine must get the
    # larger limit that these calls need.
    idle, busy = CallWindow(), CallWindow()
    for n in range(100):
        idle.call_started(n * 0.1, 0.0, CAPACITY)
        idle.call_ended(n * 0.1, rejected=False)
        busy.call_started(n * 0.1, 2 * GROW_AFTER_WAIT_S if n < 50 else 0.0, CAPACITY)
        busy.call_ended(n * 0.1, rejected=False)

    assert idle.limit == INITIAL_LIMIT
    assert busy.limit >= 2 * INITIAL_LIMIT
    assert busy.limit < 4 * INITIAL_LIMIT


def test_a_call_window_is_limited_to_its_share_of_the_capacity() -> None:
    # The same sender calls endpoints with `CAPACITY`, with twice that and with about an eighth of
    # it.
    limits = {}
    for capacity in (5, CAPACITY, 2 * CAPACITY):
        window = CallWindow()
        for n in range(100):
            window.call_started(n * 1.1, 2 * GROW_AFTER_WAIT_S, capacity)
            window.call_ended(n * 1.1, rejected=False)
        limits[capacity] = window.limit

    assert limits[5] == INITIAL_LIMIT
    assert INITIAL_LIMIT < limits[CAPACITY] < CAPACITY / 5
    assert 1.8 * limits[CAPACITY] < limits[2 * CAPACITY] < 2.2 * limits[CAPACITY]


def test_rejections_of_one_burst_shrink_the_window_once() -> None:
    window = CallWindow()
    window.limit = 8.0
    for _ in range(8):
        window.call_started(0.0, 0.0, CAPACITY)
    for _ in range(8):
        window.call_ended(1.0, rejected=True)
    limit_after_burst = window.limit
    assert limit_after_burst > 4.0

    window.call_started(2.0, 0.0, CAPACITY)
    window.call_ended(1.0 + 2 * SHRINK_EVERY_S, rejected=True)
    assert window.limit < limit_after_burst
