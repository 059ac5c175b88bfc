from __future__ import annotations

import dataclasses
import statistics

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from unit.decisions.overload import Replay

from ibisspring_decisions.engine_room import EngineRoom, FurtherSlots
from ibisspring_decisions.group_order import GroupWork
from ibisspring_decisions.job_admission import (
    EARLY_RETURN_S,
    MIN_RETRY_S,
    AdmissionInputs,
    CandidateJob,
    EngineUse,
    JobAdmitted,
    JobRejected,
    decide_admission,
    holds_place,
    rejection_without_place,
    repeated_rejection,
    room_beside_places,
)
from ibisspring_decisions.job_ends import fluid_ends

NOW = 1_800_000_000.25
FULL = EngineUse(slots=10, running=10, waiting=30)


def candidate(
    name: str,
    slot_s: float,
    due_s: float = 8.0,
    give_up_s: float = 20.0,
    account: str = "a",
    priority: int = 0,
) -> CandidateJob:
    group = GroupWork((name, "g"), account, priority, NOW + due_s, False, 1, slot_s, 0.5)
    return CandidateJob(name, "lm", account, NOW, NOW + due_s, NOW + give_up_s, (group,))


def inputs_of(*jobs: CandidateJob, use: EngineUse = FULL, reservations=()) -> AdmissionInputs:
    groups = tuple(group for job in jobs for group in job.groups)
    return AdmissionInputs(groups, tuple(reservations), use)


def test_a_job_that_can_be_in_time_is_accepted_with_its_predicted_end() -> None:
    decision = decide_admission(
        candidate("new", 30.0, due_s=8.5), inputs_of(candidate("old", 40.0)), NOW
    )

    assert isinstance(decision, JobAdmitted)
    assert decision.predicted_end_s == pytest.approx(NOW + 7.0, abs=1e-3)


def test_a_job_that_would_make_an_accepted_job_late_is_rejected_with_a_place() -> None:
    # A job with a short due time starts before all others. If it were accepted, the job that was
    # accepted before would be late by it.
    inputs = inputs_of(candidate("old", 75.0, due_s=8.0))

    decision = decide_admission(candidate("new", 30.0, due_s=5.0), inputs, NOW)

    assert isinstance(decision, JobRejected)
    place = decision.reservation
    assert place.first_seen_s == NOW
    assert decision.retry_after_s == pytest.approx(place.not_before_s - NOW)
    room = room_beside_places(dataclasses.replace(inputs, reservations=(place,)), NOW)
    assert fluid_ends(inputs.groups, room, NOW)["old"] <= NOW + 8.0


def test_a_job_of_a_higher_priority_is_not_rejected_for_one_of_a_lower() -> None:
    inputs = inputs_of(candidate("old", 75.0, priority=1))

    assert isinstance(decide_admission(candidate("new", 30.0), inputs, NOW), JobAdmitted)


def test_a_late_job_is_accepted_while_late_jobs_take_a_small_part_of_the_engines() -> None:
    # A late answer still serves its caller. But each late job delays those that come next, so
    # that under a lasting overload all jobs would be late.
    new = candidate("new", 12.0, due_s=8.5)
    inputs = inputs_of(candidate("old", 75.0))
    assert isinstance(decide_admission(new, inputs, NOW), JobAdmitted)

    inputs = inputs_of(candidate("old", 75.0), candidate("late", 15.0, due_s=8.2))
    assert isinstance(decide_admission(new, inputs, NOW), JobRejected)


def test_a_job_that_would_end_after_its_limit_is_rejected_without_a_place() -> None:
    inputs = inputs_of(candidate("old", 400.0, due_s=60.0, give_up_s=90.0))

    decision = decide_admission(candidate("new", 300.0, give_up_s=9.0), inputs, NOW)

    assert decision.reservation is None
    assert decision.retry_after_s is None


def test_a_job_without_a_place_may_ask_again_before_its_limit() -> None:
    inputs = inputs_of(candidate("short", 5.0, due_s=3.0), candidate("old", 90.0, due_s=9.6))

    decision = decide_admission(candidate("new", 60.0, give_up_s=14.0), inputs, NOW)

    assert decision.reservation is None
    assert MIN_RETRY_S <= decision.retry_after_s <= 14.0 - 6.0


@pytest.mark.parametrize(
    "use",
    [EngineUse(10, 9, 0), EngineUse(10, 4, 8), EngineUse(0, 0, 8)],
    ids=["idle slots", "under half full", "no engine serves"],
)
def test_no_job_is_rejected_while_the_engines_have_room(use: EngineUse) -> None:
    inputs = inputs_of(candidate("old", 500.0), use=use)

    assert isinstance(decide_admission(candidate("new", 500.0), inputs, NOW), JobAdmitted)


def test_no_job_is_rejected_while_the_fleet_can_grow_in_time() -> None:
    old = candidate("old", 75.0)
    grows = dataclasses.replace(FULL, further=(FurtherSlots(NOW + 4.0, 20),))

    assert isinstance(decide_admission(candidate("new", 60.0), inputs_of(old), NOW), JobRejected)
    decision = decide_admission(candidate("new", 60.0), inputs_of(old, use=grows), NOW)
    assert isinstance(decision, JobAdmitted)
    assert decision.predicted_end_s <= NOW + 8.0


def test_an_early_return_gets_the_same_answer_and_a_timely_one_its_place() -> None:
    inputs = inputs_of(candidate("old", 75.0))
    kept = decide_admission(candidate("new", 30.0, due_s=5.0), inputs, NOW).reservation

    # The submission was sent while there was no leader, and is answered 0.8 s later.
    early = repeated_rejection(kept, kept.not_before_s - 1.8, kept.not_before_s - 1.0)
    assert early.reservation == kept
    assert early.retry_after_s == pytest.approx(1.0, abs=1e-3)
    returned_s = kept.not_before_s - EARLY_RETURN_S
    assert repeated_rejection(kept, returned_s, returned_s) is None
    assert holds_place(kept, kept.expires_s)
    assert not holds_place(kept, kept.expires_s + 0.1)


def test_a_rejection_without_a_place_keeps_the_first_submission() -> None:
    kept = rejection_without_place(candidate("new", 30.0), 2.0, NOW + 1.0)

    assert kept.first_seen_s == NOW
    assert not holds_place(kept, NOW + 1.0)
    assert repeated_rejection(kept, NOW + 2.0, NOW + 2.0).reservation is None
    assert repeated_rejection(kept, NOW + 3.0, NOW + 3.0) is None


def test_the_places_of_an_account_that_asks_for_most_leave_room_for_the_others() -> None:
    # One account is rejected five times in a row. If its places lay one after the other, a second
    # account would find none before its limits.
    old = candidate("old", 79.0, account="b")
    reservations = []
    for number in range(5):
        job = candidate(f"a{number}", 5.0, due_s=7.0, give_up_s=40.0)
        rejected = decide_admission(job, inputs_of(old, reservations=reservations), NOW)
        if rejected.reservation is not None:
            reservations.append(rejected.reservation)

    other = candidate("b0", 5.0, due_s=7.0, give_up_s=40.0, account="b")
    place = decide_admission(other, inputs_of(old, reservations=reservations), NOW).reservation

    assert len(reservations) >= 2
    assert place.not_before_s < reservations[-1].not_before_s


JOBS = st.lists(
    st.tuples(st.floats(1.0, 60.0), st.floats(3.0, 12.0), st.sampled_from("abc")),
    min_size=2,
    max_size=12,
)


@settings(deadline=None, max_examples=60)
@given(jobs=JOBS)
def test_promises_never_exceed_the_room(jobs: list) -> None:
    # Guards against promises that cannot be kept: jobs accepted in time stay in time whatever is
    # accepted or reserved later, and each reserved place still has its slot-seconds.
    accepted: list[CandidateJob] = []
    in_time: list[CandidateJob] = []
    reservations: list = []
    for number, (slot_s, due_s, account) in enumerate(jobs):
        job = candidate(f"j{number}", slot_s, due_s, 20.0, account)
        inputs = inputs_of(*accepted, reservations=reservations)
        decision = decide_admission(job, inputs, NOW)
        if isinstance(decision, JobAdmitted):
            accepted.append(job)
            if decision.predicted_end_s <= job.due_s:
                in_time.append(job)
        elif decision.reservation is not None:
            reservations.append(decision.reservation)

        room = EngineRoom(NOW, FULL.slots)
        for kept in reservations:
            assert room.take(kept.slot_s, kept.not_before_s) <= NOW + 20.0 + 1e-3
        ends = fluid_ends(inputs_of(*accepted).groups, room, NOW)
        assert all(ends[kept.job] <= kept.due_s + 1e-3 for kept in in_time)


@pytest.mark.parametrize("load", [1.5, 2.0, 2.5])
def test_groups_in_time_beyond_the_room(load: float) -> None:
    # Three accounts submit more than the engines can run. Earliest deadline first spends nearly all
    # slots on groups that then come too late; the room allows 1 / load of them in time.
    without = Replay(load, 1, admits=False).run()
    replay = Replay(load, 1, admits=True).run()

    assert replay.share_in_time() >= 0.9 / load
    assert without.share_in_time() < 0.5 * replay.share_in_time()
    assert replay.places
    assert replay.kept_places == replay.places


def test_no_job_is_rejected_below_the_room_and_predictions_are_close() -> None:
    replay = Replay(0.9, 1, admits=True).run()

    assert sum(job.refused for job in replay.jobs) == 0
    assert statistics.median(map(abs, replay.errors_s)) < 1.0
