"""Crash suspects in the replicated state of the product's own interface."""

from __future__ import annotations

import msgspec

from ibisspring_control.state.machine import StateMachine
from ibisspring_core.messages.codec import encode
from ibisspring_core.messages.commands import COMMANDS, RESULTS, Envelope
from ibisspring_core.messages.crash_suspects import (
    ClearSuspect,
    CrashSuspect,
    EndpointEnd,
    ReportEnd,
    StartTrial,
    SuspectsChanged,
    SuspectSummary,
    TrialStarted,
)

TRIAL = StartTrial("q", "scorer", 2.0, 3)


class Machine:
    """A state machine that gets one command after the other, at given times of the log."""

    def __init__(self) -> None:
        self.machine = StateMachine.empty()

    def apply(self, command: object, stamped_s: float = 100.0):
        index = self.machine.applied_index + 1
        envelope = Envelope(f"r{index}", stamped_s, msgspec.Raw(COMMANDS.encode(command)))
        return RESULTS.decode(self.machine.apply(index, encode(envelope)))


def report(number: int, in_trial: bool = False) -> ReportEnd:
    end = EndpointEnd(f"e{number}", 1, "entry", "r1", 1, 5e9, in_trial)
    return ReportEnd(CrashSuspect("q", "scorer", "forge", "GENERATE", "scorer/", (end,)))


def test_ends_are_part_of_the_view_of_every_entry() -> None:
    machine = Machine()

    assert machine.apply(report(1)) == SuspectsChanged(1, SuspectSummary(1, False))
    index = machine.machine.view_index
    machine.apply(report(2, in_trial=True))

    view = machine.machine.entry_view()
    assert view.index > index
    assert view.suspects == {"q": SuspectSummary(2, True)}
    # The entry's own clock is 150 years ahead.
    assert {end.wall_s for end in machine.machine.suspects.all()[0].ends} == {100.0}


def test_one_trial_is_allowed_until_it_has_a_result() -> None:
    machine = Machine()
    machine.apply(report(1))
    machine.apply(report(2))

    assert machine.apply(TRIAL, 101.0) == TrialStarted(allowed=True)
    assert machine.apply(TRIAL, 102.0) == TrialStarted(allowed=False)
    machine.apply(report(3, in_trial=True), 102.0)
    assert machine.apply(TRIAL, 200.0) == TrialStarted(allowed=False)
    machine.apply(ClearSuspect("q", 3), 201.0)
    assert machine.machine.entry_view().suspects == {}


def test_suspects_and_trials_are_part_of_the_snapshot() -> None:
    machine = Machine()
    machine.apply(report(1))
    machine.apply(report(2))
    machine.apply(TRIAL, 101.0)
    copy = Machine()
    copy.machine.restore(machine.machine.snapshot())

    assert copy.machine.snapshot() == machine.machine.snapshot()
    assert copy.machine.entry_view() == machine.machine.entry_view()
    assert copy.apply(TRIAL, 102.0) == TrialStarted(allowed=False)
