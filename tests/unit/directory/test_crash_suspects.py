"""Crash suspects on the directory's leader: what is stored, sent to entries, and cleared."""

from __future__ import annotations

from dataclasses import replace

import pytest
from unit.directory.test_service import SETTINGS, renew, started

from ibisspring_core.messages.crash_suspects import (
    ClearSuspect,
    CrashSuspect,
    EndpointEnd,
    ReadSuspects,
    ReportEnd,
    StartTrial,
    SuspectsChanged,
    SuspectSummary,
    TrialStarted,
)
from ibisspring_core.messages.directory import Unchanged
from ibisspring_core.suspect_state import SuspectState
from ibisspring_decisions.crash_suspects import MAX_SUSPECTS, SUSPICION_S
from ibisspring_directory.state import DirectoryState

LEARNT_S = 60.0
END = EndpointEnd("e1", 1, "entry-1", "r1", 1, 1000.0)
SUSPECT = CrashSuspect("q", "archive", "forge", "POST", "/lookup/7", (END,))


def suspect_with(**changes) -> CrashSuspect:
    """Return the suspect with one changed end."""
    return replace(SUSPECT, ends=(replace(END, **changes),))


@pytest.fixture
async def directory():
    async with started(SETTINGS) as directory:
        yield directory


async def test_an_end_reaches_every_entry_that_waits_for_a_change(directory) -> None:
    await directory.renew(renew("1"))
    # The end of the time in which a new leader learns the endpoints is a change of the view too.
    directory.endpoints.start_term(directory.led_since - LEARNT_S)
    directory.mark_changed()
    view = await directory.renew(renew("1"))
    held = renew("1", epoch=view.epoch, revision=view.revision)
    assert isinstance(await directory.renew(held), Unchanged)

    reported = await directory.suspects.report_end(ReportEnd(SUSPECT))
    newer = await directory.renew(replace(held, hold_s=5.0))

    assert reported == SuspectsChanged(1, SuspectSummary(1, False))
    assert newer.suspects == {"q": SuspectSummary(1, False)}
    assert newer.suspect_change == 1


async def test_a_repeated_report_is_counted_once(directory) -> None:
    # The answer to a report was lost, or two entries had the same request at the endpoint.
    await directory.suspects.report_end(ReportEnd(SUSPECT))
    await directory.suspects.report_end(ReportEnd(suspect_with(daemon="entry-2", request="r2")))
    await directory.suspects.report_end(ReportEnd(suspect_with(incarnation=2)))

    (suspect,) = (await directory.suspects.read(ReadSuspects())).suspects
    assert [end.incarnation for end in suspect.ends] == [1, 2]


async def test_an_answer_clears_a_suspect_unless_a_newer_end_is_known(directory) -> None:
    await directory.suspects.report_end(ReportEnd(SUSPECT))
    await directory.suspects.report_end(ReportEnd(suspect_with(endpoint="e2")))

    await directory.suspects.clear(ClearSuspect("q", 1))
    assert directory.state.suspects.summaries() == {"q": SuspectSummary(2, False)}
    await directory.suspects.clear(ClearSuspect("q", 2))
    assert directory.state.suspects.summaries() == {}


async def test_a_trial_of_a_request_in_quarantine_is_refused(directory) -> None:
    # An entry whose view is older than the third end asks for a trial.
    for number in (1, 2, 3):
        end = suspect_with(endpoint=f"e{number}", in_trial=number == 3)
        await directory.suspects.report_end(ReportEnd(end))

    answer = await directory.suspects.start_trial(StartTrial("q", "archive", 2.0))

    assert answer == TrialStarted(allowed=False)


def test_the_suspects_are_part_of_the_snapshot() -> None:
    state = DirectoryState()
    state.suspects.record(suspect_with(in_trial=True))
    state.suspects.record(suspect_with(endpoint="e2"))
    copy = DirectoryState()
    copy.restore(state.snapshot())

    assert copy.suspects.by_identity == state.suspects.by_identity
    assert copy.suspects.change == 2


def test_ends_that_lie_far_apart_do_not_add_up() -> None:
    state = SuspectState()
    state.record(SUSPECT)
    state.record(suspect_with(endpoint="e2", wall_s=END.wall_s + SUSPICION_S))

    assert state.summaries() == {"q": SuspectSummary(1, False)}


def test_the_state_is_bounded() -> None:
    state = SuspectState()
    for number in range(2 * MAX_SUSPECTS):
        state.record(replace(suspect_with(wall_s=float(number)), identity=f"q{number}"))
    for number in range(50):
        state.record(suspect_with(endpoint=f"e{number}", wall_s=1e6))

    assert len(state.by_identity) == MAX_SUSPECTS
    assert len(state.by_identity["q"].ends) < 10
