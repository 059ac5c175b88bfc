from __future__ import annotations

import pytest

from ibisspring_decisions.drain import Draining, DrainLimits, DrainStep, next_step

LIMITS = DrainLimits(settle_s=10.0, deadline_s=120.0)


@pytest.mark.parametrize(
    ("draining", "now", "step"),
    [
        # An entry may still send to it: stopping it would break a request that came a moment ago.
        (Draining(0.0, None, 0, True), 50.0, DrainStep.WAIT),
        # The announced zero is older than the last request that an entry sent.
        (Draining(0.0, 3.0, 0, True), 5.0, DrainStep.WAIT),
        (Draining(0.0, 3.0, 0, False), 30.0, DrainStep.WAIT),
        # A long stream still runs.
        (Draining(0.0, 3.0, 1, True), 100.0, DrainStep.WAIT),
        (Draining(0.0, 3.0, 0, True), 13.0, DrainStep.STOP_IDLE),
        # A stream that never ends, or an entry cut off with its lease, must not hold it for ever.
        (Draining(0.0, 3.0, 1, True), 120.0, DrainStep.STOP_AT_DEADLINE),
        (Draining(0.0, None, 0, False), 120.0, DrainStep.STOP_AT_DEADLINE),
    ],
)
def test_steps(draining: Draining, now: float, step: DrainStep) -> None:
    assert next_step(draining, LIMITS, now) is step
