"""The daemons that run items, and what each of them holds."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisspring_core.messages.jobs import Assignment, TakeWork

# Runners ask for work at least every half second. Their items begin elsewhere after this silence:
# an item may run twice, and a trainer waits for it.
SILENT_S = 1.5
# A runner calls again as soon as it has an answer. Passed over in these milliseconds, it would see
# its engines' runs go to a runner that has no connections to them.
COMES_BACK_S = 0.1
# An engine's runs stay with one runner until that one has so many more than the usual: its loss
# then costs no more than a few texts' last second.
CROWDED_RUNS = 8
CROWDED_TIMES = 2


@dataclass
class Runner:
    """
    One runner as the dispatcher knows it.

    :param sequence: of its newest call.
    :param sequence_by_number: call in whose answer an assignment was given, by its number.
    :param outbox: assignments for the answer to the call that waits.
    :param cancelled: numbers to stop, for the same.
    :param moved: numbers to stop and report, for the same.
    :param waiting: a call of it waits for work.
    :param answered_at: when its last call was answered.
    :param free: items that it still takes.
    """

    address: str
    data_centre: str
    incarnation: str
    heard_at: float
    sequence: int = 0
    sequence_by_number: dict[int, int] = field(default_factory=dict)
    outbox: list[Assignment] = field(default_factory=list)
    cancelled: list[int] = field(default_factory=list)
    moved: list[int] = field(default_factory=list)
    waiting: bool = False
    answered_at: float = float("-inf")
    free: int = 0
    wake: asyncio.Event = field(default_factory=asyncio.Event)

    def takes(self, now: float) -> bool:
        """Whether it gets what it is given within milliseconds: its call waits or will be here."""
        return self.waiting or now - self.answered_at < COMES_BACK_S

    def give(self, assignment: Assignment) -> None:
        """Put an assignment into the answer to the call that waits, or to its next one."""
        self.sequence_by_number[assignment.number] = self.sequence + (not self.waiting)
        self.free -= 1
        self.outbox.append(assignment)
        self.wake.set()


class Runners:
    """Runners by address; `now` is always given."""

    def __init__(self) -> None:
        self.runner_by_address: dict[str, Runner] = {}

    def take(self, call: TakeWork, now: float) -> tuple[Runner, tuple[int, ...]]:
        """
        Take in a call for work.

        :return: the runner, and the numbers of assignments that it does not hold any more: their
            answer was lost on its way, or the runner started anew.
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
        runner.heard_at = now
        runner.sequence = call.sequence
        runner.free = call.free
        return runner, lost + missing

    def silent(self, now: float) -> tuple[Runner, ...]:
        """Remove and return the runners that were silent for too long."""
        found = [one for one in self.runner_by_address.values() if now - one.heard_at > SILENT_S]
        for runner in found:
            del self.runner_by_address[runner.address]
        return tuple(found)

    def best(
        self,
        endpoint: str,
        data_centre: str,
        now: float,
        connected: Callable[[str], bool] = lambda _: False,
    ) -> Runner | None:
        """
        Choose who runs an item at an endpoint.

        A runner that has an idle connection to it goes first: any other one would open one more.
        Else each endpoint has an order of its own of the runners in its data centre, and its runs
        go to the first of them.

        :param data_centre: of the endpoint; bytes between data centres cost.
        :param connected: whether a runner, by its address, has an idle connection to the endpoint.
        :return: a runner that takes work now; None where none does.
        """
        runners = self.runner_by_address.values()
        taking = [one for one in runners if one.takes(now) and one.free > 0]
        usual = sum(len(one.sequence_by_number) for one in runners) / max(1, len(runners))
        crowded = max(CROWDED_RUNS, CROWDED_TIMES * usual)

        def rank(runner: Runner) -> tuple[bool, bool, bool, int]:
            return (
                not connected(runner.address),
                runner.data_centre != data_centre,
                len(runner.sequence_by_number) >= crowded,
                xxhash.xxh64_intdigest(f"{endpoint} {runner.address}".encode()),
            )

        return min(taking, key=rank, default=None)


__all__ = ["SILENT_S", "Runner", "Runners"]
