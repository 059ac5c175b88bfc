from __future__ import annotations

import asyncio

from unit.entry.rollouts.stand_ins import Engines, gathering

from ibisspring_entry.rollouts.attempt import Bound
from ibisspring_entry.rollouts.gathering import Gathering
from ibisspring_entry.rollouts.samples import LabelRun
from integration.processes import wait_until


async def _whole(step: Gathering) -> None:
    step.start()
    await wait_until(lambda: step.whole() is not None, "the batch to be whole")


async def test_a_swap_in_the_middle_of_a_sample_is_labelled_run_by_run() -> None:
    """
    An engine swaps version 4 for 5 while it writes a sample.

    The trainer would train on tokens of 4 as if 5 had made them, had the sample one label for all.
    """
    step, _ = gathering(Engines(lambda request: (4, 4, 5)), lambda: Bound(5, 2))

    await _whole(step)
    samples = step.whole() or ()
    await step.stop()

    assert len({sample.sample for sample in samples}) == 4
    assert all(s.runs == (LabelRun(4, 0, 2), LabelRun(5, 2, 3)) for s in samples)


async def test_a_missing_label_throws_the_sample_away() -> None:
    """
    An engine leaves the label out in its first answers.

    What was ordered or announced could be taken in its place and would be wrong after a failed
    swap.
    """
    engines = Engines(lambda request: (4, None) if request.request_id.endswith(".1") else (4, 4))
    step, counters = gathering(engines, lambda: Bound(4, 0))

    await _whole(step)
    await step.stop()

    assert counters.count_by_name["samples.discarded.missing_label"] == 4
    assert all(sample.sample.endswith(".2") for sample in step.whole() or ())


async def test_the_trainer_advances_while_samples_wait() -> None:
    """
    A step lacks one hanging sample; its trainer publishes two versions in the meantime.

    The samples that waited are too old by then; they are made again before a commit is tried.
    """
    now = {"version": 1}
    engines = Engines(lambda request: (now["version"],))
    engines.hang_by_sample["t:1:1:1:1.1"] = asyncio.Event()
    step, counters = gathering(engines, lambda: Bound(now["version"], 1))
    step.start()
    await wait_until(lambda: step.ready() == 3, "three samples")

    now["version"] = 3
    engines.hang_by_sample["t:1:1:1:1.1"].set()
    await wait_until(lambda: step.whole() is not None, "the batch to be whole")
    samples = step.whole() or ()
    await step.stop()

    assert {sample.oldest_version() for sample in samples} == {3}
    assert counters.count_by_name["samples.discarded.stale"] == 4


async def test_a_sample_that_grows_too_old_on_the_way_is_cancelled() -> None:
    engines = Engines(lambda request: (1,) * 50 if request.request_id.endswith(".1") else (3,))
    step, counters = gathering(engines, lambda: Bound(3, 1), groups=1, size=1)

    await _whole(step)
    await step.stop()

    assert "t:1:1:0:0.1" in engines.closed
    assert counters.count_by_name["samples.discarded.stale"] == 1


async def test_one_winner_of_a_race() -> None:
    """
    An engine hangs at the end of the last sample while the other samples took milliseconds.

    The sample is raced; the first copy's end comes after all and must not be delivered as well.
    """
    engines = Engines(lambda request: (1,))
    engines.hang_by_sample["t:1:1:0:7.1"] = asyncio.Event()
    step, counters = gathering(engines, lambda: Bound(1, 0), groups=1, size=8)

    await _whole(step)
    engines.hang_by_sample["t:1:1:0:7.1"].set()
    samples = step.whole() or ()
    await step.stop()

    assert counters.count_by_name["samples.raced"] == 1
    assert [sample.sample for sample in samples][7] == "t:1:1:0:7.2"
    assert len(samples) == 8
    assert engines.closed.count("t:1:1:0:7.1") == 1


async def test_replaced_samples_come_under_new_ids() -> None:
    step, _ = gathering(Engines(lambda request: (1,)), lambda: Bound(1, 0))
    await _whole(step)
    first = {sample.sample for sample in step.whole() or ()}

    step.replace(("t:1:1:0:1.1",))
    await wait_until(lambda: step.whole() is not None, "the batch to be whole again")
    second = {sample.sample for sample in step.whole() or ()}
    await step.stop()

    assert first - second == {"t:1:1:0:1.1"}
    assert second - first == {"t:1:1:0:1.2"}


async def test_a_sample_is_billed_for_the_engines_time_without_its_wait() -> None:
    """
    The engines are full and a step's samples wait long for their turn.

    The trainer's account was billed for endpoint seconds in which no endpoint worked for it.
    """
    engines = Engines(lambda request: (4,))
    engines.endpoint_s = 0.25
    step, _ = gathering(engines, lambda: Bound(4, 0))

    await _whole(step)
    samples = step.whole() or ()
    await step.stop()

    assert [sample.endpoint_s for sample in samples] == [0.25] * 4
