from __future__ import annotations

import dataclasses

import pytest
from unit.jobs.test_dispatcher import ENGINE, _World
from unit.jobs.test_state import job_of

from ibisspring_core.messages.jobs import ABANDONED, COMPLETED, PART, Outcome, RewardCall
from ibisspring_jobs.commands import KeepTexts
from ibisspring_jobs.state import JobsState

CALL = RewardCall("r0", "ledger.example", "/score/0", b"body")


def scored_items(items: int = 1):
    return tuple(
        dataclasses.replace(one, reward=dataclasses.replace(CALL, request=f"r-{one.item}"))
        for one in job_of(items=items).items
    )


class _ScoredWorld(_World):
    """A job whose items have reward calls."""

    def __init__(self, items: int = 1) -> None:
        super().__init__(ENGINE, items=scored_items(items))

    def whole(self, number: int, after: int = 0, output: str = "a\nb") -> None:
        """Hand a whole text over, as a runner does before it makes the reward call."""
        events = output.count("\n") + 1 if output else 0
        versions = (4,) if events else ()
        outcome = Outcome(number, PART, output, events, versions, 0.0, after, whole=True)
        made = self.dispatcher.take_part(outcome)
        if made is not None:
            self.apply(KeepTexts(made[0], (made[1],)))


@pytest.fixture
def world():
    return _ScoredWorld()


def test_a_whole_text_is_listed_with_its_score(world) -> None:
    number = world.poll()[0].number
    world.whole(number)
    assert world.state.job_by_id["j"].results == []

    listed = world.end(number, "done", after=2, score="stamp")

    assert (listed.state, listed.output, listed.score) == (COMPLETED, "a\nb", "stamp")
    assert world.state.job_by_id["j"].results == [listed]


def test_a_whole_text_is_not_listed_without_its_score(world) -> None:
    # A runner of the version before knows no reward calls: it reports the text as done, and a
    # trainer would read a result that nobody scored.
    number = world.poll()[0].number

    assert world.end(number, "done", output="a\nb", events=2, versions=(4,)) is None

    (again,) = world.poll(now=1.0)
    assert (again.endpoint, again.resume_after) == ("", 2)


@pytest.mark.parametrize("loss", ["runner", "lost answer", "broken"])
def test_a_whole_text_goes_on_with_its_reward_call_alone(world, loss) -> None:
    # A text is whole and its reward call under way when the runner dies, stops, or its answer is
    # lost. Made again, the text would take an engine's time once more and come too late.
    number = world.poll(now=0.0)[0].number
    world.whole(number)
    if loss == "runner":
        world.dispatcher.sweep(5.0)
    if loss == "lost answer":
        world.dispatcher._lose(number, "answer lost")
    if loss == "broken":
        world.end(number, "broken", now=5.0, after=2, whole=True)

    (again,) = world.poll(now=5.0, runner="e2")

    assert (again.item.item, again.endpoint, again.resume_after) == ("i0", "", 2)
    listed = world.end(again.number, "done", score="stamp")
    assert (listed.output, listed.versions, listed.score) == ("a\nb", (4,), "stamp")


def test_a_whole_text_outlives_the_jobs_leader(world) -> None:
    # All stores lose power between text and score. The log holds the whole text, so only the
    # reward call begins anew.
    world.whole(world.poll()[0].number)
    restored = JobsState()
    restored.restore(world.state.snapshot())
    world.state = restored
    world.dispatcher._state = restored

    world.change_leader()

    (again,) = world.poll()
    assert (again.endpoint, again.resume_after) == ("", 2)
    assert world.end(again.number, "done", score="stamp").output == "a\nb"


def test_a_text_that_became_whole_without_a_new_event_is_known_to_be_whole(world) -> None:
    # The last event was handed over with a part before; the stream's end alone is the news.
    number = world.poll()[0].number
    world.part(number, 0, "a\nb")
    world.whole(number, after=2, output="")

    world.change_leader()

    assert world.poll()[0].endpoint == ""


def test_what_a_broken_run_made_is_kept_in_the_log(world) -> None:
    # An engine breaks off, another goes on, and the jobs' leader is lost. Kept only in the old
    # leader's memory, the first part was a gap, and all parts after it were made again.
    number = world.poll()[0].number
    broken = Outcome(number, "broken", "a", 1, (4,))
    made = world.dispatcher.take_part(broken)
    world.apply(KeepTexts(made[0], (made[1],)))
    world.dispatcher.report(broken, 0.0)
    again = world.poll(now=1.0)[0]
    assert again.resume_after == 1
    world.part(again.number, 0, "b")

    world.change_leader()

    assert world.poll(now=2.0)[0].resume_after == 2


def test_a_reward_call_leaves_its_place_at_the_engine(world) -> None:
    # Texts of a step end together and wait for their scores; engines that are free meanwhile must
    # begin the next ones.
    world = _ScoredWorld(items=3)
    first = world.poll()
    assert len(first) == 2
    world.whole(first[0].number)

    more = world.poll(running=(1, 2), now=0.1)

    assert [one.endpoint for one in more] == ["engine-1"]


def test_a_reward_call_is_neither_slow_nor_moved(world) -> None:
    # While its reward call is under way a run makes no event. Taken for a stream that stands
    # still, it would make its engine look slow and be stopped.
    number = world.poll()[0].number
    world.poll(running=(number,), now=0.5, events=(2,))
    world.whole(number)
    for step in range(1, 5):
        world.poll(running=(number,), now=0.5 + step, events=(2,))

    assert world.dispatcher.engines.paces._pace_by_engine == {}
    world.dispatcher.move_stragglers(6.0)
    assert not world.dispatcher.run_by_number[number].moved


def test_a_call_that_failed_as_often_as_it_may_is_given_up(world) -> None:
    number = world.poll()[0].number
    world.whole(number)

    listed = world.end(number, "unscored", after=2, whole=True)

    assert (listed.state, listed.output, listed.score) == (ABANDONED, "", "")
    assert world.poll(now=1.0) == ()


def test_a_text_of_versions_that_the_job_does_not_take_is_not_scored(world) -> None:
    number = world.poll()[0].number
    outcome = Outcome(number, PART, "a", 1, (0,), 0.0, 0, whole=True)
    world.state.job_by_id["j"].job = dataclasses.replace(
        world.state.job_by_id["j"].job, min_version=4
    )
    assert world.dispatcher.take_part(outcome) is None

    assert world.end(number, "done", after=1, score="stamp") is None

    (again,) = world.poll(now=1.0)
    assert (again.endpoint, again.resume_after) == ("engine-1", 0)


def test_an_end_stops_reward_calls(world) -> None:
    from ibisspring_jobs.commands import CloseJob

    number = world.poll()[0].number
    world.whole(number)

    world.apply(CloseJob("j"))

    runner = world.dispatcher.runners.runner_by_address["e1"]
    assert runner.cancelled == [number]
    assert world.poll(now=3.0) == ()
