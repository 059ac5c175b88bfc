"""The reasons that operators and logs give for items that wait."""

from __future__ import annotations

import dataclasses

import pytest
from unit.jobs.test_dispatcher import ENGINE, DispatcherHarness

from ibisspring_core.messages.jobs import TakeWork
from ibisspring_jobs.wait_causes import count_items, wait_causes

NOW = 100.0


def causes_of(harness: DispatcherHarness, job: str = "j") -> dict[str, int]:
    dispatcher = harness.dispatcher
    causes = wait_causes(dispatcher, dispatcher.context, harness.state.job_by_id[job], NOW)
    return {cause.reason: cause.engines for cause in causes}


def add_runner(harness: DispatcherHarness, free: int = 8) -> None:
    call = TakeWork("e1", "derby", "x", harness.dispatcher.epoch, 1, (), free, 0.5)
    harness.dispatcher.register_call(call, NOW).waiting = True


def test_a_job_without_runners_waits_for_one() -> None:
    assert causes_of(DispatcherHarness(ENGINE)) == {"no_runner": 0}


def test_a_job_whose_engines_all_load_weights_waits_for_them() -> None:
    harness = DispatcherHarness(ENGINE)
    add_runner(harness)
    harness.loading.add(("engine-1", "m"))

    assert causes_of(harness) == {"engine_loading": 1}


def test_a_service_without_engines_is_named() -> None:
    harness = DispatcherHarness()
    add_runner(harness)

    assert causes_of(harness) == {"no_engine": 0}


def test_engines_of_an_older_version_are_named() -> None:
    harness = DispatcherHarness(ENGINE, min_version=5)
    add_runner(harness)

    assert causes_of(harness) == {"engine_old_version": 1}


def test_an_engine_that_is_paused_after_a_broken_run_is_named() -> None:
    harness = DispatcherHarness(ENGINE)
    add_runner(harness)
    harness.dispatcher.engines.pause("engine-1", "m", "broken", NOW)

    assert causes_of(harness) == {"engine_paused": 1}


@pytest.mark.parametrize("own", [True, False])
def test_taken_slots_are_told_apart_from_slots_that_other_jobs_take(own) -> None:
    harness = DispatcherHarness(ENGINE)
    add_runner(harness)
    harness.dispatcher.assign_waiting_items(NOW)
    if not own:
        run = next(iter(harness.dispatcher.run_by_number.values()))
        harness.dispatcher.run_by_number[run.number] = dataclasses.replace(run, job="other")

    causes = causes_of(harness)

    assert causes == {"no_free_slot": 1, **({} if own else {"other_groups_first": 1})}
    assert count_items(harness.dispatcher, harness.state.job_by_id["j"]).running == 1 + own


def test_an_operator_s_hold_hides_the_other_reasons() -> None:
    harness = DispatcherHarness()
    harness.state.job_by_id["j"].held = True

    assert causes_of(harness) == {"held": 0}


def test_items_that_are_about_to_start_have_no_reason_to_wait() -> None:
    harness = DispatcherHarness(ENGINE)
    add_runner(harness)

    assert causes_of(harness) == {}
