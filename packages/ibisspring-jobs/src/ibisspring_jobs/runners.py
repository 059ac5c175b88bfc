"""The runners (daemons that run items) and the assignments of each of them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisspring_core.messages.jobs import Assignment, TakeWork

# Runners call for work at least every 0.5 s. After this many seconds without a call, the items of a
# runner are assigned to others. If the runner is still alive, its items run twice; until the limit
# is reached, a trainer waits for the items of a failed runner.
RUNNER_TIMEOUT_S = 1.5
# A runner calls again as soon as its previous call is answered, so for this many seconds after an
# answer it counts as available. If it were skipped in the milliseconds until its next call, the
# runs of its engines would be assigned to a runner that has no connections to them.
NEXT_CALL_GRACE_S = 0.1
# The runs of an engine are assigned to the same runner until the runner has at least this many runs
# and at least this many times the mean of all runners. The loss of a runner then costs no more than
# the last second of a few texts.
OVERLOAD_MIN_RUNS = 8
OVERLOAD_FACTOR = 2


@dataclass
class Runner:
    """
    A runner and what is to be sent to it.

    :param address: peer address of the daemon.
    :param incarnation: differs after each restart of the daemon.
    :param received_at: when its last call was received, in seconds since boot.
    :param sequence: sequence number of its last call.
    :param sequence_by_number: its assignments by number, each with the sequence number of the call
        whose answer contains the assignment.
    :param outbox: assignments to be sent with the next answer.
    :param cancelled: numbers of the assignments to stop, to be sent with the next answer.
    :param moved: numbers of the assignments to stop and report, to be sent with the next answer.
    :param waiting: whether a call of the runner is open.
    :param answered_at: when its last call was answered, in seconds since boot.
    :param free_slots: number of further items that it accepts.
    :param wake: set when there is something to answer an open call with.
    """

    address: str
    data_centre: str
    incarnation: str
    received_at: float
    sequence: int = 0
    sequence_by_number: dict[int, int] = field(default_factory=dict)
    outbox: list[Assignment] = field(default_factory=list)
    cancelled: list[int] = field(default_factory=list)
    moved: list[int] = field(default_factory=list)
    waiting: bool = False
    answered_at: float = float("-inf")
    free_slots: int = 0
    wake: asyncio.Event = field(default_factory=asyncio.Event)

    def is_available(self, now: float) -> bool:
        """
        Whether an assignment would reach the runner within milliseconds.

        This holds while a call of it is open, and for NEXT_CALL_GRACE_S after its last answer.

        :param now: seconds since boot.
        """
        return self.waiting or now - self.answered_at < NEXT_CALL_GRACE_S

    def assign(self, assignment: Assignment) -> None:
        """Add an assignment to the answer of the open call, or of the next call if none is open."""
        self.sequence_by_number[assignment.number] = self.sequence + (not self.waiting)
        self.free_slots -= 1
        self.outbox.append(assignment)
        self.wake.set()


class Runners:
    """
    The runners that have called within RUNNER_TIMEOUT_S, by address.

    In all methods `now` is in seconds since boot.
    """

    def __init__(self) -> None:
        self.runner_by_address: dict[str, Runner] = {}

    def register_call(self, call: TakeWork, now: float) -> tuple[Runner, tuple[int, ...]]:
        """
        Add or update a runner by its call for work.

        :return: the runner, and the numbers of the assignments that it does not run: the answer
            with the assignment did not reach it, or it was restarted since.
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
        runner.free_slots = call.free
        return runner, lost + missing

    def remove_timed_out(self, now: float) -> tuple[Runner, ...]:
        """Remove and return the runners that have not called for RUNNER_TIMEOUT_S."""
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
    ) -> Runner | None:
        """
        Choose the runner for an item at an endpoint.

        Runners with an idle connection to the endpoint are preferred, since any other would open a
        new one; then runners in the endpoint's data centre, since traffic between data centres is
        charged; then runners that are not overloaded. The remaining order is a hash of endpoint and
        runner, so that the runs of an endpoint go to the same runner.

        :param data_centre: data centre of the endpoint.
        :param connected: whether a runner, given by its address, has an idle connection to the
            endpoint.
        :return: an available runner with a free slot; None if there is none.
        """
        runners = self.runner_by_address.values()
        available = [
            candidate
            for candidate in runners
            if candidate.is_available(now) and candidate.free_slots > 0
        ]
        mean_runs = sum(len(candidate.sequence_by_number) for candidate in runners) / max(
            1, len(runners)
        )
        overload_limit = max(OVERLOAD_MIN_RUNS, OVERLOAD_FACTOR * mean_runs)

        def rank(runner: Runner) -> tuple[bool, bool, bool, int]:
            return (
                not connected(runner.address),
                runner.data_centre != data_centre,
                len(runner.sequence_by_number) >= overload_limit,
                xxhash.xxh64_intdigest(f"{endpoint} {runner.address}".encode()),
            )

        return min(available, key=rank, default=None)


__all__ = ["RUNNER_TIMEOUT_S", "Runner", "Runners"]
