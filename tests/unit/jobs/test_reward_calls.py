"""Items whose complete text is scored by a second request: the reward call."""

from __future__ import annotations

import dataclasses

import pytest
from unit.jobs.test_dispatcher import ENGINE, DispatcherHarness
from unit.jobs.test_state import job_of

from ibisspring_core.messages.jobs import ABANDONED, COMPLETED, PART, Outcome, RewardCall
from ibisspring_jobs.commands import KeepTexts
from ibisspring_jobs.state import JobsState

REWARD_CALL = RewardCall("r0", "ledger.example", "/score/0", b"body")


def items_with_reward_calls(items: int = 1):
    return tuple(
        dataclasses.replace(item, reward=dataclasses.replace(REWARD_CALL, request=f"r-{item.item}"))
        for item in job_of(items=items).items
    )


class ScoredHarness(DispatcherHarness):
    """A dispatcher with a job whose items have reward calls, and the engine ENGINE."""

    def __init__(self, items: int = 1) -> None:
        super().__init__(ENGINE, items=items_with_reward_calls(items))

    def report_complete_text(self, number: int, after: int = 0, output: str = "a\nb") -> None:
        """
        Report the end of a text, as a runner does before it makes the reward call.

        :param after: number of events of this run that were reported before.
        :param output: data of the remaining events; empty if all events were reported before.
        """
        events = output.count("\n") + 1 if output else 0
        versions = (4,) if events else ()
        outcome = Outcome(number, PART, output, events, versions, 0.0, after, whole=True)
        job_and_part = self.dispatcher.outcomes.accept_part(outcome)
        if job_and_part is not None:
            self.apply(KeepTexts(job_and_part[0], (job_and_part[1],)))


@pytest.fixture
def harness():
    return ScoredHarness()


def test_complete_text_is_listed_with_its_score(harness) -> None:
    number = harness.poll()[0].number
    harness.report_complete_text(number)
    assert harness.state.job_by_id["j"].results == []

    listed = harness.end_run(number, "done", after=2, score="stamp")

    assert (listed.state, listed.output, listed.score) == (COMPLETED, "a\nb", "stamp")
    assert harness.state.job_by_id["j"].results == [listed]


def test_a_complete_text_is_not_listed_without_its_score(harness) -> None:
    # A runner of the previous software version makes no reward calls and reports the text as done.
    # If this outcome were listed, a trainer would read a result without a score.
    number = harness.poll()[0].number

    assert harness.end_run(number, "done", output="a\nb", events=2, versions=(4,)) is None

    (reassigned,) = harness.poll(now=1.0)
    assert (reassigned.endpoint, reassigned.resume_after) == ("", 2)


@pytest.mark.parametrize("loss", ["runner", "lost answer", "broken"])
def test_a_complete_text_resumes_with_its_reward_call_only(harness, loss) -> None:
    # The runner fails or stops, or the answer to its call for work is lost, while the reward call
    # of a complete text is in progress. If the text were generated again, this would take an
    # engine's time a second time, and the result would be too late.
    number = harness.poll(now=0.0)[0].number
    harness.report_complete_text(number)
    if loss == "runner":
        harness.dispatcher.sweep(5.0)
    if loss == "lost answer":
        harness.dispatcher._drop_lost_run(number, "not held by the runner")
    if loss == "broken":
        harness.end_run(number, "broken", now=5.0, after=2, whole=True)

    (reassigned,) = harness.poll(now=5.0, runner="e2")

    assert (reassigned.item.item, reassigned.endpoint, reassigned.resume_after) == ("i0", "", 2)
    listed = harness.end_run(reassigned.number, "done", score="stamp")
    assert (listed.output, listed.versions, listed.score) == ("a\nb", (4,), "stamp")


def test_a_complete_text_is_kept_across_a_change_of_the_jobs_leader(harness) -> None:
    # All stores lose power after the text is complete and before it is scored. The log contains the
    # complete text. If the new leader did not use it, an engine would generate the text again
    # instead of only repeating the reward call.
    harness.report_complete_text(harness.poll()[0].number)
    restored = JobsState()
    restored.restore(harness.state.snapshot())
    harness.state = restored
    harness.dispatcher._state = restored

    harness.change_leader()

    (reassigned,) = harness.poll()
    assert (reassigned.endpoint, reassigned.resume_after) == ("", 2)
    assert harness.end_run(reassigned.number, "done", score="stamp").output == "a\nb"


def test_text_is_complete_after_an_end_report_without_new_events(harness) -> None:
    # A part that was reported earlier already contains the last event. The last report contains no
    # event, only the fact that the stream has ended.
    number = harness.poll()[0].number
    harness.report_part(number, 0, "a\nb")
    harness.report_complete_text(number, after=2, output="")

    harness.change_leader()

    assert harness.poll()[0].endpoint == ""


def test_text_of_a_broken_run_is_kept_in_the_log(harness) -> None:
    # The stream of one engine breaks, another engine continues the text, and then the jobs' leader
    # fails. If the first engine's text were only in the old leader's memory, the log would have a
    # gap there, and the text would be generated again from the gap on.
    number = harness.poll()[0].number
    broken = Outcome(number, "broken", "a", 1, (4,))
    job_and_part = harness.dispatcher.outcomes.accept_part(broken)
    harness.apply(KeepTexts(job_and_part[0], (job_and_part[1],)))
    harness.dispatcher.outcomes.process(broken, 0.0)
    reassigned = harness.poll(now=1.0)[0]
    assert reassigned.resume_after == 1
    harness.report_part(reassigned.number, 0, "b")

    harness.change_leader()

    assert harness.poll(now=2.0)[0].resume_after == 2


def test_reward_call_uses_no_slot_of_the_engine(harness) -> None:
    # Many texts of a trainer's step end at the same time and wait for their scores. If they kept
    # their slots meanwhile, the engines would not start the next items.
    harness = ScoredHarness(items=3)
    first = harness.poll()
    assert len(first) == 2
    harness.report_complete_text(first[0].number)

    additional = harness.poll(running=(1, 2), now=0.1)

    assert [assignment.endpoint for assignment in additional] == ["engine-1"]


def test_run_in_its_reward_call_is_not_measured_and_not_moved(harness) -> None:
    # A run produces no events during its reward call. If the run were counted as a stream of the
    # engine, the engine would seem slow, and the run would be moved to another engine.
    number = harness.poll()[0].number
    harness.poll(running=(number,), now=0.5, events=(2,))
    harness.report_complete_text(number)
    for step in range(1, 5):
        harness.poll(running=(number,), now=0.5 + step, events=(2,))

    assert harness.dispatcher.engines.paces._pace_by_engine == {}
    harness.dispatcher.move_stragglers(6.0)
    assert not harness.dispatcher.run_by_number[number].moved


def test_item_is_abandoned_when_its_reward_call_has_no_attempts_left(harness) -> None:
    number = harness.poll()[0].number
    harness.report_complete_text(number)

    listed = harness.end_run(number, "unscored", after=2, whole=True)

    assert (listed.state, listed.output, listed.score) == (ABANDONED, "", "")
    assert harness.poll(now=1.0) == ()


def test_text_of_a_too_old_version_is_not_scored(harness) -> None:
    number = harness.poll()[0].number
    outcome = Outcome(number, PART, "a", 1, (0,), 0.0, 0, whole=True)
    harness.state.job_by_id["j"].job = dataclasses.replace(
        harness.state.job_by_id["j"].job, min_version=4
    )
    assert harness.dispatcher.outcomes.accept_part(outcome) is None

    assert harness.end_run(number, "done", after=1, score="stamp") is None

    (reassigned,) = harness.poll(now=1.0)
    assert (reassigned.endpoint, reassigned.resume_after) == ("engine-1", 0)


def test_closing_a_job_stops_its_reward_calls(harness) -> None:
    from ibisspring_jobs.commands import CloseJob

    number = harness.poll()[0].number
    harness.report_complete_text(number)

    harness.apply(CloseJob("j"))

    runner = harness.dispatcher.runners.runner_by_address["e1"]
    assert runner.cancelled == [number]
    assert harness.poll(now=3.0) == ()
