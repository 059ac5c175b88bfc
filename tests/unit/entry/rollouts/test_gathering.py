from __future__ import annotations

import asyncio

from unit.entry.rollouts.stand_ins import Engines, gathering

from ibisspring_entry.rollouts.attempt import StalenessBound
from ibisspring_entry.rollouts.gathering import Gathering
from ibisspring_entry.rollouts.samples import LabelRun
from integration.processes import wait_until


async def _wait_until_complete(step: Gathering) -> None:
    step.start()
    await wait_until(lambda: step.complete_samples() is not None, "the batch to be complete")


async def test_weight_swap_within_a_sample_gives_two_label_runs() -> None:
    """
    An engine replaces version 4 by 5 while it generates a sample.

    With a single label for the sample, the trainer would treat tokens of version 4 as tokens of
    version 5.
    """
    step, _ = gathering(Engines(lambda request: (4, 4, 5)), lambda: StalenessBound(5, 2))

    await _wait_until_complete(step)
    samples = step.complete_samples() or ()
    await step.stop()

    assert len({sample.sample_id for sample in samples}) == 4
    assert all(s.runs == (LabelRun(4, 0, 2), LabelRun(5, 2, 3)) for s in samples)


async def test_sample_with_a_missing_label_is_discarded() -> None:
    """
    An engine sends a token without a version label in the first attempt at each sample.

    The version that the engine was ordered to load, or announced, must not be used instead of the
    label: it would be wrong after a failed weight swap.
    """
    engines = Engines(lambda request: (4, None) if request.request_id.endswith(".1") else (4, 4))
    step, counters = gathering(engines, lambda: StalenessBound(4, 0))

    await _wait_until_complete(step)
    await step.stop()

    assert counters.count_by_name["samples.discarded.missing_label"] == 4
    assert all(sample.sample_id.endswith(".2") for sample in step.complete_samples() or ())


async def test_finished_samples_are_replaced_when_they_become_stale() -> None:
    """
    A step lacks one sample, whose engine hangs, while the trainer publishes two versions.

    The finished samples are then too old and must be regenerated before a delivery is proposed.
    """
    now = {"version": 1}
    engines = Engines(lambda request: (now["version"],))
    engines.end_event_by_sample["t:1:1:1:1.1"] = asyncio.Event()
    step, counters = gathering(engines, lambda: StalenessBound(now["version"], 1))
    step.start()
    await wait_until(lambda: step.ready_count() == 3, "three samples to be ready")

    now["version"] = 3
    engines.end_event_by_sample["t:1:1:1:1.1"].set()
    await wait_until(lambda: step.complete_samples() is not None, "the batch to be complete")
    samples = step.complete_samples() or ()
    await step.stop()

    assert {sample.oldest_version() for sample in samples} == {3}
    assert counters.count_by_name["samples.discarded.stale"] == 4


async def test_attempt_with_stale_tokens_is_cancelled() -> None:
    engines = Engines(lambda request: (1,) * 50 if request.request_id.endswith(".1") else (3,))
    step, counters = gathering(engines, lambda: StalenessBound(3, 1), groups=1, size=1)

    await _wait_until_complete(step)
    await step.stop()

    assert "t:1:1:0:0.1" in engines.closed
    assert counters.count_by_name["samples.discarded.stale"] == 1


async def test_a_sample_with_two_attempts_is_delivered_once() -> None:
    """
    An engine hangs at the end of the last sample; the other samples took milliseconds.

    A second attempt is started and wins. The first attempt ends later, and its sample must not be
    delivered in addition.
    """
    engines = Engines(lambda request: (1,))
    engines.end_event_by_sample["t:1:1:0:7.1"] = asyncio.Event()
    step, counters = gathering(engines, lambda: StalenessBound(1, 0), groups=1, size=8)

    await _wait_until_complete(step)
    engines.end_event_by_sample["t:1:1:0:7.1"].set()
    samples = step.complete_samples() or ()
    await step.stop()

    assert counters.count_by_name["samples.raced"] == 1
    assert [sample.sample_id for sample in samples][7] == "t:1:1:0:7.2"
    assert len(samples) == 8
    assert engines.closed.count("t:1:1:0:7.1") == 1


async def test_regenerated_samples_have_new_ids() -> None:
    step, _ = gathering(Engines(lambda request: (1,)), lambda: StalenessBound(1, 0))
    await _wait_until_complete(step)
    first = {sample.sample_id for sample in step.complete_samples() or ()}

    step.regenerate(("t:1:1:0:1.1",))
    await wait_until(lambda: step.complete_samples() is not None, "the batch to be complete again")
    second = {sample.sample_id for sample in step.complete_samples() or ()}
    await step.stop()

    assert first - second == {"t:1:1:0:1.1"}
    assert second - first == {"t:1:1:0:1.2"}


async def test_sample_carries_engine_time_without_queue_time() -> None:
    """
    The engines are full and the requests of a step are queued for long.

    If the queue time counted as engine time, it would be billed to the trainer's client account,
    although no endpoint worked for this account meanwhile.
    """
    engines = Engines(lambda request: (4,))
    engines.endpoint_s = 0.25
    step, _ = gathering(engines, lambda: StalenessBound(4, 0))

    await _wait_until_complete(step)
    samples = step.complete_samples() or ()
    await step.stop()

    assert [sample.endpoint_s for sample in samples] == [0.25] * 4
