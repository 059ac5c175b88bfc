"""Random histories of runs, parts, lost reports and changes of leader: every text is whole."""

from __future__ import annotations

import dataclasses

from hypothesis import given, settings
from hypothesis import strategies as st
from unit.jobs.test_dispatcher import ENGINE, _World

from ibisspring_core.messages.jobs import PART, Outcome
from ibisspring_jobs.commands import KeepTexts, RecordResults

EVENTS = 12
ENTRY = "e1"
STEPS = st.lists(
    st.tuples(
        st.sampled_from(("make", "part", "lost report", "broken", "leader", "entry", "again")),
        st.integers(min_value=1, max_value=5),
    ),
    max_size=60,
)


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
        if outcome.kind == PART:
            made = dispatcher.take_part(outcome)
            if made is not None:
                world.apply(KeepTexts(made[0], (made[1],)))
            return
        ended = dispatcher.report(outcome, self.now)
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
