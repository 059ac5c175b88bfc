from __future__ import annotations

import dataclasses

from ibisspring_core.messages.codec import decode
from ibisspring_core.messages.jobs import COMPLETED, ItemResult, Job, JobItem, TextPart
from ibisspring_decisions.account_shares import AccountUsage
from ibisspring_decisions.engine_speed import KnownSpeed
from ibisspring_decisions.job_admission import Reservation
from ibisspring_jobs.commands import (
    COMMANDS,
    AcceptJob,
    CloseJob,
    DropReservations,
    ForgetJobs,
    HoldJob,
    KeepSpeeds,
    KeepTexts,
    KeepUsage,
    RecordKept,
    RecordResults,
    ReservePlace,
)
from ibisspring_jobs.state import JobsState, StoredJob


def job_of(name: str = "j", items: int = 3) -> Job:
    return Job(
        job=name,
        client_account="training",
        host="scores.example",
        service="scorer",
        model="m",
        items=tuple(JobItem(f"i{n}", f"/score/{n}", (), b"body", 900, "g") for n in range(items)),
        due_s=7.5,
        give_up_s=40.0,
        max_attempts=3,
    )


def result(item: str, output: str = "text") -> ItemResult:
    return ItemResult(item, COMPLETED, output, (1,))


def state_after(*commands: object) -> JobsState:
    state = JobsState()
    for index, command in enumerate(commands, 1):
        state.apply(index, COMMANDS.encode(command))
    return state


def test_a_job_submitted_twice_is_stored_once() -> None:
    # The answer to a submission is lost, and the trainer submits its job again through another
    # entry. If the job were added twice, each item would run twice and have results at two
    # positions of the list.
    state = state_after(
        AcceptJob(job_of()), RecordResults("j", (result("i0"),)), AcceptJob(job_of())
    )

    job_record = state.job_by_id["j"]
    assert [listed_result.item for listed_result in job_record.results] == ["i0"]
    assert set(job_record.item_by_id) == {"i1", "i2"}
    assert job_record.total == 3


def test_the_result_at_a_position_never_changes() -> None:
    # Two engines completed the same item with different texts. If the second text replaced the
    # first at its position, a model could be trained on a text other than the one that its trainer
    # read before.
    state = state_after(
        AcceptJob(job_of()),
        RecordResults("j", (result("i1", "first"),)),
        RecordResults("j", (result("i1", "second"), result("i0"))),
    )

    assert [
        (listed_result.item, listed_result.output) for listed_result in state.job_by_id["j"].results
    ] == [
        ("i1", "first"),
        ("i0", "text"),
    ]


def test_an_ended_job_has_no_items_left_to_run() -> None:
    state = state_after(AcceptJob(job_of()), RecordResults("j", (result("i1"),)), CloseJob("j"))

    job_record = state.job_by_id["j"]
    assert job_record.ended
    assert not job_record.item_by_id
    assert len(job_record.results) == 1


def test_snapshot_is_complete_and_unchanged_after_a_restore() -> None:
    state = state_after(
        AcceptJob(job_of("a")),
        RecordResults("a", (result("i2"),)),
        AcceptJob(job_of("b")),
        CloseJob("b"),
        AcceptJob(job_of("c")),
        ForgetJobs(("c",)),
    )
    restored = JobsState()
    restored.restore(state.snapshot())

    assert restored.snapshot() == state.snapshot()
    assert set(restored.job_by_id) == {"a", "b"}
    assert restored.job_by_id["a"].item_by_id["i0"].body == b"body"
    assert restored.job_by_id["b"].ended


def test_groups_of_an_earlier_job_are_marked_as_carried() -> None:
    # A trainer's last step left some groups incomplete, and its next job contains them again. The
    # trainer waits for these carried groups, no matter which other groups are complete. If their
    # items started last, they would delay the step.
    second = dataclasses.replace(
        job_of("b"), items=tuple(JobItem(f"x{n}", "/", (), b"", 900, f"g{n}") for n in range(2))
    )
    first = dataclasses.replace(
        job_of("a"), items=tuple(JobItem(f"y{n}", "/", (), b"", 900, f"g{n}") for n in range(1, 3))
    )
    state = state_after(AcceptJob(first), AcceptJob(second))

    assert state.job_by_id["b"].carried == {"g1"}
    assert state.job_by_id["a"].carried == frozenset()
    other = dataclasses.replace(second, job="c", client_account="another")
    state.apply(3, COMMANDS.encode(AcceptJob(other)))
    assert state.job_by_id["c"].carried == frozenset()


def part(item: str, after: int, output: str, events: int = 1) -> TextPart:
    return TextPart(item, after, output, events, (4,))


def texts_of(state: JobsState, item: str) -> list[str]:
    return [stored.output for stored in state.job_by_id["j"].parts_by_item.get(item, ())]


def test_part_is_stored_only_if_it_continues_the_stored_text() -> None:
    # A runner sends a report again if the answer to the report was lost. If the part in this report
    # were stored twice, the text would contain the part's events twice.
    state = state_after(
        AcceptJob(job_of()),
        KeepTexts("j", (part("i0", 0, "a"), part("i0", 1, "b\nc", 2))),
        KeepTexts("j", (part("i0", 1, "b\nc", 2), part("i0", 4, "e"))),
        KeepTexts("j", (part("i0", 3, "d"),)),
    )

    assert texts_of(state, "i0") == ["a", "b\nc", "d"]


def test_part_from_the_first_event_replaces_the_text() -> None:
    state = state_after(
        AcceptJob(job_of()),
        KeepTexts("j", (part("i0", 0, "old"), part("i0", 1, "old too"))),
        KeepTexts("j", (part("i0", 0, "new"),)),
    )

    assert texts_of(state, "i0") == ["new"]


def test_texts_of_listed_items_and_ended_jobs_are_removed() -> None:
    state = state_after(
        AcceptJob(job_of()),
        KeepTexts("j", (part("i0", 0, "a"), part("i1", 0, "a"))),
        RecordResults("j", (result("i0"),)),
        KeepTexts("j", (part("i0", 1, "late"), part("unknown", 0, "a"))),
        KeepTexts("unknown", (part("i0", 0, "a"),)),
    )
    assert (texts_of(state, "i0"), texts_of(state, "i1")) == ([], ["a"])

    state.apply(9, COMMANDS.encode(CloseJob("j")))

    assert state.job_by_id["j"].parts_by_item == {}


def test_snapshot_contains_the_texts() -> None:
    state = state_after(
        AcceptJob(job_of()),
        KeepTexts("j", (part("i0", 0, "a"), part("i0", 1, "b"))),
    )
    restored = JobsState()

    restored.restore(state.snapshot())

    assert texts_of(restored, "i0") == ["a", "b"]


def test_result_without_output_gets_the_stored_text() -> None:
    # If a result always contained its output, a text of one kilobyte would be sent to the other
    # stores twice: as its parts and in its result.
    last_part = TextPart("i0", 2, "c", 1, (5,), whole=True)
    result_without_output = ItemResult("i0", COMPLETED, "", (4, 5), "stamp")
    state = state_after(
        AcceptJob(job_of()),
        KeepTexts("j", (TextPart("i0", 0, "a\nb", 2, (4,)), last_part)),
        RecordKept("j", (result_without_output,)),
        RecordKept("j", (dataclasses.replace(result_without_output, score="other"),)),
    )

    job_record = state.job_by_id["j"]
    assert job_record.results == [dataclasses.replace(result_without_output, output="a\nb\nc")]
    assert "i0" not in job_record.item_by_id


def test_result_without_output_is_not_listed_if_the_text_is_incomplete() -> None:
    # If the result were listed although not all parts of its text are stored, a caller would read
    # an empty text.
    result_without_output = ItemResult("i0", COMPLETED, "", (4,))
    state = state_after(
        AcceptJob(job_of()),
        KeepTexts("j", (TextPart("i0", 0, "a", 1, (4,)),)),
        RecordKept("j", (result_without_output,)),
    )

    assert state.job_by_id["j"].results == []
    assert "i0" in state.job_by_id["j"].item_by_id


def test_a_snapshot_without_new_kinds_of_state_is_readable_by_an_earlier_release() -> None:
    # Stores are updated one after the other. An older store that cannot decode the snapshot of a
    # newer one would never catch up.
    state = state_after(AcceptJob(job_of()))

    assert decode(state.snapshot(), tuple[StoredJob, ...])[0].job.job == "j"


def test_usage_speeds_reservations_and_holds_outlive_a_snapshot() -> None:
    # A store that starts from a snapshot becomes leader. Without this state it would treat all
    # accounts and engines alike, and a rejected job would not find the place that it was promised.
    usage = (AccountUsage("scorer", "training", 4.0, 1000.0),)
    speeds = (KnownSpeed("engine-1", 3, 0.03),)
    reservation = Reservation("other", "scorer", "training", 1000.0, 1002.0, 1005.0, 12.0)
    state = state_after(
        AcceptJob(job_of()),
        KeepUsage(usage),
        KeepSpeeds(speeds),
        ReservePlace(reservation),
        HoldJob("j", True, "r1"),
    )
    restored = JobsState()
    restored.restore(state.snapshot())

    assert restored.usage == usage
    assert restored.speeds == speeds
    assert restored.reservation_by_job == {"other": reservation}
    assert restored.job_by_id["j"].held
    assert restored.snapshot() == state.snapshot()


def test_the_first_reservation_of_a_job_stays_in_force_until_it_is_accepted_or_dropped() -> None:
    # The rejection with its retry time is lost, and the same job is rejected again through another
    # entry. A second reservation would move the job behind those that were rejected after it.
    first = Reservation("j", "scorer", "training", 1000.0, 1002.0, 1005.0, 12.0)
    second = dataclasses.replace(first, not_before_s=1009.0)
    state = state_after(ReservePlace(first), ReservePlace(second))

    assert state.reservation_by_job == {"j": first}
    assert not state_after(ReservePlace(first), AcceptJob(job_of())).reservation_by_job
    assert not state_after(ReservePlace(first), DropReservations(("j",))).reservation_by_job
    assert not state_after(AcceptJob(job_of()), ReservePlace(first)).reservation_by_job
