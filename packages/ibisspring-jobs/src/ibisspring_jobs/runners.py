"""The runners (entry daemons that send items to engines) and the assignments of each of them."""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import xxhash

from ibisspring_core.portions import count_within

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisspring_core.messages.jobs import AdoptedRun, Assignment, JobItem, TakeWork

# Seconds without a call for work after which a runner's items are assigned to others. Runners call
# at least every 0.5 s. With a shorter limit, the items of a slow runner that is still alive would
# run twice; with a longer one, a trainer would wait longer for the items of a failed runner.
RUNNER_TIMEOUT_S = 1.5
# Seconds for which a runner still counts as available after its call for work was answered, because
# it calls again as soon as it has the answer. If the runner were skipped in the milliseconds until
# its next call, the runs of its engines would be assigned to a runner without connections to them.
NEXT_CALL_GRACE_S = 0.1
# A runner is overloaded when its number of runs is at least OVERLOAD_MIN_RUNS and at least
# OVERLOAD_FACTOR times the mean of all runners. Until then, the runs of an engine are assigned to
# the same runner. The limit keeps the loss of one runner small: it costs no more than the last
# second of a few texts.
OVERLOAD_MIN_RUNS = 8
OVERLOAD_FACTOR = 2
# Size of the items in one answer to a runner, in bytes; a larger item is sent alone. The answer has
# to arrive within the time limit of the call.
MAX_WORK_BYTES = 4 * 1024 * 1024


@dataclass
class Runner:
    """
    A runner, its assignments, and what is to be sent to it with the answer to its call for work.

    :param address: peer address of the runner's daemon.
    :param incarnation: id of the daemon's start; differs after each restart.
    :param received_at: when the runner's last call was received, in seconds since boot.
    :param sequence: sequence number of the runner's last call.
    :param sequence_by_number: by assignment number, the sequence number of the call whose answer
        contains the assignment.
    :param outbox: assignments to be sent with the next answer.
    :param first_assigned_at: when the first of these was made, in seconds since boot.
    :param cancelled: numbers of the assignments to stop, to be sent with the next answer.
    :param moved: numbers of the assignments to stop and report, to be sent with the next answer.
    :param adopted: runs of earlier epochs that go on, to be sent with the next answer.
    :param waiting: whether a call of the runner is open.
    :param answered_at: when the runner's last call was answered, in seconds since boot.
    :param free_slots: number of further items that the runner accepts.
    :param capacity: number of runs that the runner bears by the size of its VM; 0 if unknown.
    :param wake: set to answer an open call before its wait limit has passed.
    """

    address: str
    data_centre: str
    incarnation: str
    received_at: float
    sequence: int = 0
    sequence_by_number: dict[int, int] = field(default_factory=dict)
    outbox: list[Assignment] = field(default_factory=list)
    first_assigned_at: float = 0.0
    cancelled: list[int] = field(default_factory=list)
    moved: list[int] = field(default_factory=list)
    adopted: list[AdoptedRun] = field(default_factory=list)
    waiting: bool = False
    answered_at: float = float("-inf")
    free_slots: int = 0
    capacity: int = 0
    wake: asyncio.Event = field(default_factory=asyncio.Event)

    def is_available(self, now: float) -> bool:
        """
        Whether an assignment would reach the runner within milliseconds.

        A runner is available while a call of it is open, and for NEXT_CALL_GRACE_S seconds after
        its last call was answered.

        :param now: seconds since boot.
        """
        return self.waiting or now - self.answered_at < NEXT_CALL_GRACE_S

    def assign(self, assignment: Assignment, now: float) -> None:
        """
        Add an assignment to the answer of the open call, or of the next call if none is open.

        :param now: when the assignment is made, in seconds since boot.
        """
        if not self.outbox:
            self.first_assigned_at = now
        self.sequence_by_number[assignment.number] = self.sequence + (not self.waiting)
        self.free_slots -= 1
        self.outbox.append(assignment)
        self.wake.set()

    def take_outbox(self) -> tuple[Assignment, ...]:
        """
        Remove the assignments that the answer of this call contains from the outbox.

        Further ones stay for the answer of the next call. Those whose items were given up or ended
        meanwhile are dropped.
        """
        self.outbox = [one for one in self.outbox if one.number in self.sequence_by_number]
        sizes = (_size_of(assignment.item) for assignment in self.outbox)
        count = count_within(sizes, MAX_WORK_BYTES)
        taken = tuple(self.outbox[:count])
        del self.outbox[:count]
        for assignment in self.outbox:
            self.sequence_by_number[assignment.number] = self.sequence + 1
        return taken

    def adopt(self, run: AdoptedRun) -> None:
        """Add an adopted run to the answer of the call that is being processed."""
        self.sequence_by_number[run.number] = self.sequence
        self.adopted.append(run)


class Runners:
    """
    The runners that have called for work within the last RUNNER_TIMEOUT_S seconds, by address.

    In all methods `now` is in seconds since boot.
    """

    def __init__(self) -> None:
        self.runner_by_address: dict[str, Runner] = {}

    def register_call(self, call: TakeWork, now: float) -> tuple[Runner, tuple[int, ...]]:
        """
        Add a runner at its first call for work, or update it at a later one.

        :return: the runner, and the numbers of those of its assignments that it does not run: the
            answer with the assignment did not reach the runner, or the runner was restarted since.
        """
        runner = self.runner_by_address.get(call.runner)
        lost: tuple[int, ...] = ()
        if runner is None or runner.incarnation != call.incarnation:
            lost = tuple(runner.sequence_by_number) if runner is not None else ()
            runner = Runner(call.runner, call.data_centre, call.incarnation, now)
            self.runner_by_address[call.runner] = runner
        running = set(call.running)
        missing = tuple(
            number
            for number, sequence in runner.sequence_by_number.items()
            if sequence < call.sequence and number not in running
        )
        runner.received_at = now
        runner.sequence = call.sequence
        runner.free_slots = call.free - len(runner.outbox)
        runner.capacity = call.capacity
        return runner, lost + missing

    def restart_timeouts(self, now: float) -> None:
        """Count the silence of all runners from now on; before, their calls were not answered."""
        for runner in self.runner_by_address.values():
            runner.received_at = max(runner.received_at, now)

    def remove_timed_out(self, now: float) -> tuple[Runner, ...]:
        """
        Remove the runners without a call for work in the last RUNNER_TIMEOUT_S seconds.

        :return: the removed runners, whose items are to be assigned again.
        """
        timed_out = [
            candidate
            for candidate in self.runner_by_address.values()
            if now - candidate.received_at > RUNNER_TIMEOUT_S
        ]
        for runner in timed_out:
            del self.runner_by_address[runner.address]
        return tuple(timed_out)

    def choose(
        self,
        endpoint: str,
        data_centre: str,
        now: float,
        connected: Callable[[str], bool] = lambda _: False,
        allowed: Callable[[Runner], bool] = lambda _: True,
    ) -> Runner | None:
        """
        Choose the runner that sends an item to an endpoint.

        Runners with an idle connection to the endpoint are preferred, since any other would open a
        new one; then runners in the endpoint's data centre, since traffic between data centres is
        charged; then runners that are not overloaded for their size. Among equal runners a hash of
        endpoint and runner decides, so that the runs of an endpoint go to the same runner; a runner
        gets as many endpoints as fits its size.

        :param data_centre: data centre of the endpoint.
        :param connected: whether a runner, given by its address, has an idle connection to the
            endpoint.
        :param allowed: whether a runner may receive the item.
        :return: an available runner with a free slot; None if there is none.
        """
        runners = self.runner_by_address.values()
        available = [
            candidate
            for candidate in runners
            if candidate.is_available(now) and candidate.free_slots > 0 and allowed(candidate)
        ]
        mean_runs = sum(len(candidate.sequence_by_number) for candidate in runners) / max(
            1, len(runners)
        )
        overload_limit = max(OVERLOAD_MIN_RUNS, OVERLOAD_FACTOR * mean_runs)
        mean_capacity = sum(candidate.capacity for candidate in runners) / max(1, len(runners))

        def rank(runner: Runner) -> tuple[bool, bool, bool, float]:
            # Relative size; 1.0 for runners that state none.
            size = runner.capacity / mean_capacity if runner.capacity else 1.0
            return (
                not connected(runner.address),
                runner.data_centre != data_centre,
                len(runner.sequence_by_number) >= overload_limit * size,
                _weighted_digest(f"{endpoint} {runner.address}", size),
            )

        return min(available, key=rank, default=None)


def _size_of(item: JobItem) -> int:
    return len(item.body) + (len(item.reward.body) if item.reward is not None else 0)


def _weighted_digest(key: str, size: float) -> float:
    """
    Return a hash of a key for weighted rendezvous hashing; the lowest one wins.

    Each key wins with a probability in proportion to its size; for equal sizes, the order is that
    of the digests themselves.
    """
    share = (xxhash.xxh64_intdigest(key.encode()) + 1) / 2**64
    return -math.log1p(-min(share, 1 - 2**-53)) / size


__all__ = ["RUNNER_TIMEOUT_S", "Runner", "Runners"]
