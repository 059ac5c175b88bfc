"""Floods of log lines, of which the rate limits for each message type drop some."""

from __future__ import annotations

from ibisspring_core.log_budget import (
    BUFFER_BYTES,
    BURST_S,
    FAILURES_PER_S,
    ROUTINE_PER_S,
    LogBudget,
)

FLOOD_PER_S = 5_000
SECONDS = 10


def _replay(budget: LogBudget, kind: str, failure: bool, per_s: int) -> int:
    """Return how many lines of a stream with `per_s` lines a second are admitted."""
    written = 0
    for number in range(per_s * SECONDS):
        written += budget.admit(kind, failure, 0, number / per_s)
    return written


def test_flood_of_one_message_type_drops_no_line_of_another() -> None:
    budget = LogBudget()
    written_by_kind = {"forward:refused": 0, "consensus:elected": 0}

    for number in range(FLOOD_PER_S * SECONDS):
        now = number / FLOOD_PER_S
        written_by_kind["forward:refused"] += budget.admit("forward:refused", True, 0, now)
        if number % FLOOD_PER_S == 0:
            written_by_kind["consensus:elected"] += budget.admit("consensus:elected", False, 0, now)

    assert written_by_kind["consensus:elected"] == SECONDS
    bound = FAILURES_PER_S * (SECONDS + BURST_S)
    assert bound * 0.99 <= written_by_kind["forward:refused"] <= bound
    dropped = FLOOD_PER_S * SECONDS - written_by_kind["forward:refused"]
    assert budget.reset_dropped() == {"forward:refused": dropped}
    assert budget.reset_dropped() == {}


def test_lines_about_failures_have_the_larger_limit() -> None:
    routine = _replay(LogBudget(), "runner:ended", False, FLOOD_PER_S)
    failures = _replay(LogBudget(), "runner:ended", True, FLOOD_PER_S)

    assert routine <= ROUTINE_PER_S * (SECONDS + BURST_S)
    assert failures >= 3.9 * routine


def test_no_line_is_dropped_at_usual_load() -> None:
    budget = LogBudget()

    assert _replay(budget, "runner:ended", False, 60) == 60 * SECONDS
    assert budget.reset_dropped() == {}


def test_failures_are_written_while_routine_lines_wait_for_a_slow_reader() -> None:
    budget = LogBudget()
    half = BUFFER_BYTES // 2

    assert not budget.admit("runner:ended", False, half, 0.0)
    assert budget.admit("forward:refused", True, half, 0.0)
    assert not budget.admit("forward:refused", True, BUFFER_BYTES, 0.0)
    assert budget.reset_dropped() == {"runner:ended": 1, "forward:refused": 1}
