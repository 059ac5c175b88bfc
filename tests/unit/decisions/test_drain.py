from __future__ import annotations

import pytest

from ibisspring_decisions.drain import DrainingEndpoint, DrainLimits, DrainStep, next_drain_step

LIMITS = DrainLimits(settle_s=10.0, deadline_s=120.0)


@pytest.mark.parametrize(
    ("draining", "now", "step"),
    [
        # An entry may still send requests to the endpoint; a stop would break its latest requests.
        (DrainingEndpoint(0.0, None, 0, True), 50.0, DrainStep.WAIT),
        # The announcement of no requests may be older than the last request that an entry sent.
        (DrainingEndpoint(0.0, 3.0, 0, True), 5.0, DrainStep.WAIT),
        (DrainingEndpoint(0.0, 3.0, 0, False), 30.0, DrainStep.WAIT),
        # A long stream is still running.
        (DrainingEndpoint(0.0, 3.0, 1, True), 100.0, DrainStep.WAIT),
        (DrainingEndpoint(0.0, 3.0, 0, True), 13.0, DrainStep.STOP_IDLE),
        # A stream that never ends, or an entry that is disconnected and still holds its lease, must
        # not delay the stop without limit.
        (DrainingEndpoint(0.0, 3.0, 1, True), 120.0, DrainStep.STOP_AT_DEADLINE),
        (DrainingEndpoint(0.0, None, 0, False), 120.0, DrainStep.STOP_AT_DEADLINE),
    ],
)
def test_next_step_of_a_drain(draining: DrainingEndpoint, now: float, step: DrainStep) -> None:
    assert next_drain_step(draining, LIMITS, now) is step
