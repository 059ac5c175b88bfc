"""Random histories of runs, parts, lost reports and changes of leader: every text is whole."""

from __future__ import annotations

import dataclasses

from hypothesis import given, settings
from hypothesis import strategies as st
from unit.jobs.test_dispatcher import ENGINE, _World
from unit.jobs.test_reward_calls import _ScoredWorld

from ibisspring_core.messages.jobs import PART, Outcome
from ibisspring_jobs.commands import KeepTexts, RecordResults

EVENTS = 12
ENTRY = "e1"
ACTIONS = ("make", "part", "lost report", "broken", "leader", "entry", "again")


def steps_of(*actions: str):
    """Histories of such actions."""
    count = st.integers(min_value=1, max_value=5)
    return st.lists(st.tuples(st.sampled_from(actions), count), max_size=60)


STEPS = steps_of(*ACTIONS)
SCORED_STEPS = steps_of(*ACTIONS, "whole")


class _Run:
    """One run at an engine, as its entry follows it."""

    def __init__(self, number: int, resume_after: int) -> None:
        self.number = number
        self.resume_after = resume_after
        self.made = 0
        self.handed_over = 0

    def make(self, events: int) -> None:
        self.made = min(EVENTS - self.resume_after, self.made + events)

    def outcome(self, kind: str) -> Outcome:
        first = self.resume_after + self.handed_over + 1
        last = self.resume_after + self.made
        data = [f"event {number}" for number in range(first, last + 1)]
        after = self.handed_over
        self.handed_over = self.made
        versions = (4,) if data else ()
        return Outcome(self.number, kind, "\n".join(data), len(data), versions, 0.0, after)


class _History:
    """One item from its submission to its result."""

    def __init__(self) -> None:
        engine = dataclasses.replace(ENGINE)
        self.world = _World(engine)
        self.now = 0.0
        self.run: _Run | None = None
        self.sent: list[Outcome] = []

    def begin(self) -> None:
        """Let the entry take the item where nobody runs it."""
        self.now += 1.0
        given = self.world.poll(now=self.now)
        mine = [one for one in given if one.item.item == "i0"]
        if mine:
            self.run = _Run(mine[0].number, mine[0].resume_after)

    def report(self, outcome: Outcome) -> None:
        """Take a report in as the leader does."""
        dispatcher, world = self.world.dispatcher, self.world
        for one in dispatcher.apart(outcome):
            if one.kind == PART:
                made = dispatcher.take_part(one)
                if made is not None:
                    world.apply(KeepTexts(made[0], (made[1],)))
                continue
            ended = dispatcher.report(one, self.now)
            if ended is not None:
                world.apply(RecordResults(ended[0], (ended[1],)))

    def step(self, action: str, count: int) -> None:
        if self.run is None:
            self.begin()
            return
        if action == "make":
            self.run.make(count)
        if action == "part" and self.run.made > self.run.handed_over:
            outcome = self.run.outcome(PART)
            self.sent.append(outcome)
            self.report(outcome)
        if action == "again" and self.sent:
            # An answer was lost: the entry sends what it sent before.
            self.report(self.sent[-1])
        if action == "broken":
            self.report(self.run.outcome("broken"))
            self.run = None
        if action == "leader":
            self.world.change_leader()
            self.run = None
            self.sent.clear()
        if action in ("entry", "lost report"):
            # The entry is killed; what it had made since its last part is gone.
            number = self.run.number
            self.world.dispatcher._lose(number, "runner silent")
            self.run = None

    def finish(self) -> list[str]:
        while self.run is None:
            self.begin()
        self.run.make(EVENTS)
        self.report(self.run.outcome("done"))
        (listed,) = [one for one in self.world.state.job_by_id["j"].results if one.item == "i0"]
        return listed.output.split("\n")


@settings(max_examples=300, deadline=None)
@given(STEPS)
def test_a_text_is_whole_whatever_happens_to_its_runs(steps) -> None:
    history = _History()

    for action, count in steps:
        history.step(action, count)

    assert history.finish() == [f"event {number}" for number in range(1, EVENTS + 1)]


class _ScoredHistory(_History):
    """One item with a reward call; `made_again` tells of a run after its whole text was kept."""

    def __init__(self) -> None:
        super().__init__()
        self.world = _ScoredWorld()
        self.kept_whole = False
        self.made_again = False

    def begin(self) -> None:
        self.now += 1.0
        for assignment in self.world.poll(now=self.now):
            self.run = _Run(assignment.number, assignment.resume_after)
            self.made_again = self.made_again or (self.kept_whole and bool(assignment.endpoint))

    def report(self, outcome: Outcome) -> None:
        if outcome.kind != "done" and (outcome.events or outcome.whole):
            made = self.world.dispatcher.take_part(outcome)
            if made is not None:
                self.world.apply(KeepTexts(made[0], (made[1],)))
                self.kept_whole = self.kept_whole or made[1].whole
        if outcome.kind == PART:
            return
        ended = self.world.dispatcher.report(outcome, self.now)
        if ended is not None:
            self.world.apply(RecordResults(ended[0], (ended[1],)))

    def end_text(self) -> None:
        """The stream of the run ends, and its reward call begins."""
        self.run.make(EVENTS)
        outcome = dataclasses.replace(self.run.outcome(PART), whole=True)
        self.sent.append(outcome)
        self.report(outcome)

    def step(self, action: str, count: int) -> None:
        if action == "whole" and self.run is not None:
            self.end_text()
            return
        super().step(action, count)

    def finish(self) -> list[str]:
        while self.run is None:
            self.begin()
        self.end_text()
        done = dataclasses.replace(self.run.outcome("done"), score="stamp")
        self.report(done)
        (listed,) = self.world.state.job_by_id["j"].results
        assert listed.score == "stamp"
        return listed.output.split("\n")


@settings(max_examples=300, deadline=None)
@given(SCORED_STEPS)
def test_a_whole_text_is_scored_and_never_made_again(steps) -> None:
    history = _ScoredHistory()

    for action, count in steps:
        history.step(action, count)

    assert history.finish() == [f"event {number}" for number in range(1, EVENTS + 1)]
    assert not history.made_again
