"""Time of one dispatcher decision while many runs are in progress and many items wait."""

from __future__ import annotations

import time
from statistics import median

from bench._report import print_table
from ibisspring_core.messages.endpoints import EndpointLoad, EndpointRecord
from ibisspring_core.messages.jobs import Job, JobItem, Outcome, TakeWork
from ibisspring_core.routes import ServiceTerms
from ibisspring_core.settings.policy import LoadPolicy
from ibisspring_decisions.engine_speed import KnownSpeed
from ibisspring_jobs.commands import COMMANDS, AcceptJob, KeepSpeeds
from ibisspring_jobs.dispatcher import Dispatcher
from ibisspring_jobs.state import JobsState
from ibisspring_jobs.surroundings import DispatchContext

REPEATS = 200
RUNS = 176
WAITING = 400
DECISION_EVERY_S = 1.0
"""Seconds between two decisions, after which an engine whose run failed gets new runs again."""
RUNNERS = 8
SIZES = ((11, 16), (22, 8))
"""Engine count and slots of each engine; the product is `RUNS` for each pair."""

FAST_EVENT_S = 0.028
SLOW_EVENT_S = 0.062
FAST_ENGINE_EVERY = 4
POLICIES = {"none": LoadPolicy(), "speeds": LoadPolicy(speeds=True)}


def record(number: int, slots: int) -> EndpointRecord:
    """Return the record of an engine."""
    return EndpointRecord(
        f"engine-{number}",
        1,
        1,
        "scorer",
        "engine",
        "standard",
        f"centre-{number % 3}",
        f"10.0.0.{number}:80",
        version_by_adapter={"m": 4},
        load=EndpointLoad(capacity=slots),
    )


def job(items: int) -> Job:
    """Return a job with the items of one training step, in groups of eight."""
    job_items = tuple(
        JobItem(f"i{n}", f"/score/{n}", (), b"body", 900, f"g{n // 8}", 100, 40 + n)
        for n in range(items)
    )
    return Job("j", "training", "a", "scorer", "m", job_items, 7.5, 400.0, 3, submitted_s=1000.0)


def speeds(engines: int) -> KeepSpeeds:
    """Return the learned speeds of engines of which every fourth is fast."""
    return KeepSpeeds(
        tuple(
            KnownSpeed(
                f"engine-{number}", 1, SLOW_EVENT_S if number % FAST_ENGINE_EVERY else FAST_EVENT_S
            )
            for number in range(engines)
        )
    )


def decision_s(
    engines: int, slots: int, run_ends: bool, policy: LoadPolicy = POLICIES["none"]
) -> float:
    """
    Measure the median time of one decision while `WAITING` items wait.

    :param run_ends: whether a run ends before each decision, which then fills the free slot;
        otherwise no slot is free.
    :param policy: the optional decisions in force.
    :return: seconds.
    """
    records = tuple(record(number, slots) for number in range(engines))
    terms = ServiceTerms("scorer", 100, slots, 1 << 30)
    state = JobsState()
    context = DispatchContext(
        lambda service: records, lambda service: terms, lambda: 1000.0, policy=policy
    )
    state.apply(1, COMMANDS.encode(speeds(engines)))
    dispatcher = Dispatcher(state, context, 1)
    state.apply(1, COMMANDS.encode(AcceptJob(job(RUNS + WAITING))))
    for number in range(RUNNERS):
        call = TakeWork(f"e{number}", f"centre-{number % 3}", "x", 1, 1, (), 1 << 10, 0.4)
        dispatcher.register_call(call, 0.0).waiting = True
    dispatcher.assign_waiting_items(0.0)
    held = RUNS - len(dispatcher.run_by_number)
    assert held == 0 or policy.speeds
    times_s = []
    for repeat in range(REPEATS):
        if run_ends:
            number = next(iter(dispatcher.run_by_number))
            dispatcher.outcomes.process(Outcome(number, "broken"), repeat * DECISION_EVERY_S)
        started_s = time.perf_counter()
        dispatcher.assign_waiting_items((repeat + 1) * DECISION_EVERY_S - 0.01)
        times_s.append(time.perf_counter() - started_s)
    assert len(dispatcher.run_by_number) == RUNS or policy.speeds
    return median(times_s)


def main() -> None:
    """Print the time of a decision for each fleet size."""
    rows = [
        (
            name,
            str(engines),
            str(slots),
            f"{decision_s(engines, slots, run_ends=False, policy=policy) * 1e3:.3f}",
            f"{decision_s(engines, slots, run_ends=True, policy=policy) * 1e3:.3f}",
        )
        for name, policy in POLICIES.items()
        for engines, slots in SIZES
    ]
    print(f"{RUNS} runs, {WAITING} items waiting; median of {REPEATS} decisions")
    print_table(
        ("policy", "engines", "places of each", "ms, no place free", "ms, one place free"), rows
    )


__all__ = ["main"]
