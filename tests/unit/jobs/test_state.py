from __future__ import annotations

import dataclasses

from ibisspring_core.messages.jobs import COMPLETED, ItemResult, Job, JobItem, TextPart
from ibisspring_jobs.commands import (
    COMMANDS,
    AcceptJob,
    CloseJob,
    ForgetJobs,
    KeepTexts,
    RecordKept,
    RecordResults,
)
from ibisspring_jobs.state import JobsState


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


def applied(*commands: object) -> JobsState:
    state = JobsState()
    for index, command in enumerate(commands, 1):
        state.apply(index, COMMANDS.encode(command))
    return state


def test_a_job_is_kept_once() -> None:
    # An answer is lost and the trainer submits its job again, through another entry. Kept twice,
    # its items would run twice and its results would stand at two positions.
    state = applied(AcceptJob(job_of()), RecordResults("j", (result("i0"),)), AcceptJob(job_of()))

    kept = state.job_by_id["j"]
    assert [one.item for one in kept.results] == ["i0"]
    assert set(kept.item_by_id) == {"i1", "i2"}
    assert kept.total == 3


def test_a_position_never_changes() -> None:
    # An item ran on two engines, both ended it. The second text under the first one's position
    # would train a model on something that was never read.
    state = applied(
        AcceptJob(job_of()),
        RecordResults("j", (result("i1", "first"),)),
        RecordResults("j", (result("i1", "second"), result("i0"))),
    )

    assert [(one.item, one.output) for one in state.job_by_id["j"].results] == [
        ("i1", "first"),
        ("i0", "text"),
    ]


def test_an_ended_job_has_nothing_left_to_run() -> None:
    state = applied(AcceptJob(job_of()), RecordResults("j", (result("i1"),)), CloseJob("j"))

    kept = state.job_by_id["j"]
    assert kept.ended
    assert not kept.item_by_id
    assert len(kept.results) == 1


def test_a_snapshot_holds_all_and_is_the_same_after_a_restore() -> None:
    state = applied(
        AcceptJob(job_of("a")),
        RecordResults("a", (result("i2"),)),
        AcceptJob(job_of("b")),
        CloseJob("b"),
        AcceptJob(job_of("c")),
        ForgetJobs(("c",)),
    )
    again = JobsState()
    again.restore(state.snapshot())

    assert again.snapshot() == state.snapshot()
    assert set(again.job_by_id) == {"a", "b"}
    assert again.job_by_id["a"].item_by_id["i0"].body == b"body"
    assert again.job_by_id["b"].ended


def test_groups_of_an_earlier_job_are_known_as_carried_over() -> None:
    # The trainer waits for the groups that its last step left unfinished, whichever others are
    # whole; begun last, they hold up the step.
    again = dataclasses.replace(
        job_of("b"), items=tuple(JobItem(f"x{n}", "/", (), b"", 900, f"g{n}") for n in range(2))
    )
    first = dataclasses.replace(
        job_of("a"), items=tuple(JobItem(f"y{n}", "/", (), b"", 900, f"g{n}") for n in range(1, 3))
    )
    state = applied(AcceptJob(first), AcceptJob(again))

    assert state.job_by_id["b"].carried == {"g1"}
    assert state.job_by_id["a"].carried == frozenset()
    other = dataclasses.replace(again, job="c", client_account="another")
    state.apply(3, COMMANDS.encode(AcceptJob(other)))
    assert state.job_by_id["c"].carried == frozenset()


def part(item: str, after: int, output: str, events: int = 1) -> TextPart:
    return TextPart(item, after, output, events, (4,))


def texts_of(state: JobsState, item: str) -> list[str]:
    return [one.output for one in state.job_by_id["j"].parts_by_item.get(item, ())]


def test_parts_are_kept_where_they_follow_on_what_is_kept() -> None:
    # A report is sent again because its answer was lost; a part taken twice would double events.
    state = applied(
        AcceptJob(job_of()),
        KeepTexts("j", (part("i0", 0, "a"), part("i0", 1, "b\nc", 2))),
        KeepTexts("j", (part("i0", 1, "b\nc", 2), part("i0", 4, "e"))),
        KeepTexts("j", (part("i0", 3, "d"),)),
    )

    assert texts_of(state, "i0") == ["a", "b\nc", "d"]


def test_a_text_that_begins_anew_takes_the_place_of_the_old_one() -> None:
    state = applied(
        AcceptJob(job_of()),
        KeepTexts("j", (part("i0", 0, "old"), part("i0", 1, "old too"))),
        KeepTexts("j", (part("i0", 0, "new"),)),
    )

    assert texts_of(state, "i0") == ["new"]


def test_texts_of_what_has_ended_are_dropped() -> None:
    state = applied(
        AcceptJob(job_of()),
        KeepTexts("j", (part("i0", 0, "a"), part("i1", 0, "a"))),
        RecordResults("j", (result("i0"),)),
        KeepTexts("j", (part("i0", 1, "late"), part("unknown", 0, "a"))),
        KeepTexts("unknown", (part("i0", 0, "a"),)),
    )
    assert (texts_of(state, "i0"), texts_of(state, "i1")) == ([], ["a"])

    state.apply(9, COMMANDS.encode(CloseJob("j")))

    assert state.job_by_id["j"].parts_by_item == {}


def test_texts_stand_in_a_snapshot() -> None:
    state = applied(
        AcceptJob(job_of()),
        KeepTexts("j", (part("i0", 0, "a"), part("i0", 1, "b"))),
    )
    restored = JobsState()

    restored.restore(state.snapshot())

    assert texts_of(restored, "i0") == ["a", "b"]


def test_a_result_may_stand_for_the_text_that_is_kept() -> None:
    # A text of a kilobyte was sent to the other stores as its parts and once more as its result.
    whole = TextPart("i0", 2, "c", 1, (5,), whole=True)
    bare = ItemResult("i0", COMPLETED, "", (4, 5), "stamp")
    state = applied(
        AcceptJob(job_of()),
        KeepTexts("j", (TextPart("i0", 0, "a\nb", 2, (4,)), whole)),
        RecordKept("j", (bare,)),
        RecordKept("j", (dataclasses.replace(bare, score="other"),)),
    )

    kept = state.job_by_id["j"]
    assert kept.results == [dataclasses.replace(bare, output="a\nb\nc")]
    assert "i0" not in kept.item_by_id


def test_a_result_without_its_text_lists_nothing() -> None:
    # Listed, an item whose text is not whole would be read as an empty one.
    bare = ItemResult("i0", COMPLETED, "", (4,))
    state = applied(
        AcceptJob(job_of()),
        KeepTexts("j", (TextPart("i0", 0, "a", 1, (4,)),)),
        RecordKept("j", (bare,)),
    )

    assert state.job_by_id["j"].results == []
    assert "i0" in state.job_by_id["j"].item_by_id
