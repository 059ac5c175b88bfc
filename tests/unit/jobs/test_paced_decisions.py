from __future__ import annotations

import asyncio
import time

from ibisspring_jobs.paced_decisions import PacedDecisions


def decisions_of(took_s: float) -> tuple[PacedDecisions, list[float]]:
    spent: list[float] = []
    return PacedDecisions(lambda: time.sleep(took_s), spent.append), spent


async def test_requests_during_a_pause_share_the_next_decision() -> None:
    decisions, spent = decisions_of(0.005)
    decisions.request()
    assert len(spent) == 1

    await asyncio.gather(*(decisions.wait() for _ in range(50)))

    assert len(spent) == 2


async def test_wait_returns_at_once_if_a_decision_was_due() -> None:
    decisions, spent = decisions_of(0.0)

    await asyncio.wait_for(decisions.wait(), 1.0)

    assert len(spent) == 1


async def test_a_decision_that_fails_stops_no_later_one() -> None:
    calls = 0

    def fail() -> None:
        nonlocal calls
        calls += 1
        raise ValueError

    decisions = PacedDecisions(fail, lambda seconds: None)
    for _ in range(2):
        try:
            await decisions.wait()
        except ValueError:
            pass
        await asyncio.sleep(0.01)

    assert calls == 2


async def test_stop_releases_those_who_wait() -> None:
    decisions, spent = decisions_of(0.02)
    decisions.request()
    waiting = asyncio.create_task(decisions.wait())
    await asyncio.sleep(0)

    decisions.stop()

    await asyncio.wait_for(waiting, 1.0)
    assert len(spent) == 1
