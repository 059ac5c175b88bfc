"""
Texts of items after random sequences of runs, parts, lost reports and changes of the leader.

Whatever the sequence, the result's text must contain all events, each once and in order.
"""

from __future__ import annotations

import dataclasses

from hypothesis import given, settings
from hypothesis import strategies as st
from unit.jobs.test_dispatcher import ENGINE, DispatcherHarness
from unit.jobs.test_reward_calls import ScoredHarness

from ibisspring_core.messages.jobs import PART, Outcome
from ibisspring_jobs.commands import KeepTexts, RecordResults

EVENTS = 12
ENTRY = "e1"
ACTIONS = (
    "produce",
    "part",
    "lost report",
    "broken",
    "leader change",
    "entry failure",
    "repeated report",
)


def steps_of(*actions: str):
    """
    Return a strategy for lists of up to 60 pairs of an action and a number of events.

    Only the action `produce` uses the number.
    """
    count = st.integers(min_value=1, max_value=5)
    return st.lists(st.tuples(st.sampled_from(actions), count), max_size=60)


STEPS = steps_of(*ACTIONS)
SCORED_STEPS = steps_of(*ACTIONS, "end of text")


class _Run:
    """
    The state that a runner (an entry) has of one of its runs.

    :param resume_after: number of events of the text that earlier runs produced.
    :param produced: number of events that this run has produced.
    :param reported: number of the produced events that the entry has reported.
    """

    def __init__(self, number: int, resume_after: int) -> None:
        self.number = number
        self.resume_after = resume_after
        self.produced = 0
        self.reported = 0

    def produce(self, events: int) -> None:
        self.produced = min(EVENTS - self.resume_after, self.produced + events)

    def outcome(self, kind: str) -> Outcome:
        first = self.resume_after + self.reported + 1
        last = self.resume_after + self.produced
        data = [f"event {number}" for number in range(first, last + 1)]
        after = self.reported
        self.reported = self.produced
        versions = (4,) if data else ()
        return Outcome(self.number, kind, "\n".join(data), len(data), versions, 0.0, after)


class _History:
    """One item from its submission to its result, with an entry that runs it."""

    def __init__(self) -> None:
        engine = dataclasses.replace(ENGINE)
        self.harness = DispatcherHarness(engine)
        self.now = 0.0
        self.run: _Run | None = None
        self.sent: list[Outcome] = []

    def take_item(self) -> None:
        """Make the entry's call for work, and start a run if the answer assigns the item."""
        self.now += 1.0
        assignments = self.harness.poll(now=self.now)
        assigned = [assignment for assignment in assignments if assignment.item.item == "i0"]
        if assigned:
            self.run = _Run(assigned[0].number, assigned[0].resume_after)

    def report(self, outcome: Outcome) -> None:
        """Process an outcome that the entry reports, in the same way as the service `jobs`."""
        dispatcher, harness = self.harness.dispatcher, self.harness
        for part_or_end in dispatcher.outcomes.split(outcome):
            if part_or_end.kind == PART:
                job_and_part = dispatcher.outcomes.accept_part(part_or_end)
                if job_and_part is not None:
                    harness.apply(KeepTexts(job_and_part[0], (job_and_part[1],)))
                continue
            job_and_result = dispatcher.outcomes.process(part_or_end, self.now)
            if job_and_result is not None:
                harness.apply(RecordResults(job_and_result[0], (job_and_result[1],)))

    def step(self, action: str, count: int) -> None:
        if self.run is None:
            self.take_item()
            return
        if action == "produce":
            self.run.produce(count)
        if action == "part" and self.run.produced > self.run.reported:
            outcome = self.run.outcome(PART)
            self.sent.append(outcome)
            self.report(outcome)
        if action == "repeated report" and self.sent:
            # The answer to the last report was lost, so the entry sends the report again.
            self.report(self.sent[-1])
        if action == "broken":
            self.report(self.run.outcome("broken"))
            self.run = None
        if action == "leader change":
            self.harness.change_leader()
            self.run = None
            self.sent.clear()
        if action in ("entry failure", "lost report"):
            # The entry fails, or its report of the run's end is lost. The text that the run
            # produced since its last reported part is lost with it.
            number = self.run.number
            self.harness.dispatcher._drop_lost_run(number, "runner timed out")
            self.run = None

    def finish(self) -> list[str]:
        while self.run is None:
            self.take_item()
        self.run.produce(EVENTS)
        self.report(self.run.outcome("done"))
        (listed,) = [
            result for result in self.harness.state.job_by_id["j"].results if result.item == "i0"
        ]
        return listed.output.split("\n")


@settings(max_examples=300, deadline=None)
@given(STEPS)
def test_text_has_all_events_after_any_failures_of_its_runs(steps) -> None:
    history = _History()

    for action, count in steps:
        history.step(action, count)

    assert history.finish() == [f"event {number}" for number in range(1, EVENTS + 1)]


class _ScoredHistory(_History):
    """
    One item with a reward call, from its submission to its result.

    :param text_committed: the item's complete text is in the log.
    :param generated_again: the item was assigned to an engine after its text was committed.
    """

    def __init__(self) -> None:
        super().__init__()
        self.harness = ScoredHarness()
        self.text_committed = False
        self.generated_again = False

    def take_item(self) -> None:
        self.now += 1.0
        for assignment in self.harness.poll(now=self.now):
            self.run = _Run(assignment.number, assignment.resume_after)
            self.generated_again = self.generated_again or (
                self.text_committed and bool(assignment.endpoint)
            )

    def report(self, outcome: Outcome) -> None:
        if outcome.kind != "done" and (outcome.events or outcome.whole):
            job_and_part = self.harness.dispatcher.outcomes.accept_part(outcome)
            if job_and_part is not None:
                self.harness.apply(KeepTexts(job_and_part[0], (job_and_part[1],)))
                self.text_committed = self.text_committed or job_and_part[1].whole
        if outcome.kind == PART:
            return
        job_and_result = self.harness.dispatcher.outcomes.process(outcome, self.now)
        if job_and_result is not None:
            self.harness.apply(RecordResults(job_and_result[0], (job_and_result[1],)))

    def end_text(self) -> None:
        """Produce and report the remaining events of the text, as before its reward call."""
        self.run.produce(EVENTS)
        outcome = dataclasses.replace(self.run.outcome(PART), whole=True)
        self.sent.append(outcome)
        self.report(outcome)

    def step(self, action: str, count: int) -> None:
        if action == "end of text" and self.run is not None:
            self.end_text()
            return
        super().step(action, count)

    def finish(self) -> list[str]:
        while self.run is None:
            self.take_item()
        self.end_text()
        done = dataclasses.replace(self.run.outcome("done"), score="stamp")
        self.report(done)
        (listed,) = self.harness.state.job_by_id["j"].results
        assert listed.score == "stamp"
        return listed.output.split("\n")


@settings(max_examples=300, deadline=None)
@given(SCORED_STEPS)
def test_a_complete_text_is_scored_and_never_generated_again(steps) -> None:
    history = _ScoredHistory()

    for action, count in steps:
        history.step(action, count)

    assert history.finish() == [f"event {number}" for number in range(1, EVENTS + 1)]
    assert not history.generated_again
