from __future__ import annotations

import asyncio
import os
import time
from dataclasses import replace

from unit.gateway.test_runner import SETTINGS
from unit.gateway.test_send_gate import ASSIGNMENT

from ibisspring_core.counters import Counters
from ibisspring_core.kernel import Kernel
from ibisspring_core.settings.policy import LoadPolicy
from ibisspring_core.timer import TimerService
from ibisspring_decisions.entry_size import EntrySize
from ibisspring_gateway import entry_limits
from ibisspring_gateway.active_runs import ActiveRun
from ibisspring_gateway.entry_limits import EntryLimits, open_descriptors, resident_mb
from ibisspring_gateway.role import build_services
from ibisspring_gateway.runner import MAX_STREAMS, Runner

SIZE = EntrySize(cores=0.5, memory_mb=200.0, descriptors=4000, link_mbps=30.0)


async def started_limits(size: EntrySize = SIZE) -> tuple[EntryLimits, Kernel]:
    limits = EntryLimits(replace(SETTINGS, size=size))
    kernel = Kernel()
    for service in (TimerService(), Counters.from_config(None), limits):
        kernel.register(service)
    await kernel.find("timer").start(kernel)
    await limits.start(kernel)
    return limits, kernel


def test_limits_apply_only_with_the_switch_and_a_known_size() -> None:
    sized = LoadPolicy(sizes=True)

    def has_limits(policy: LoadPolicy, size: EntrySize) -> bool:
        services = build_services(replace(SETTINGS, policy=policy, size=size))
        return any(isinstance(service, EntryLimits) for service in services)

    assert has_limits(sized, SIZE)
    assert not has_limits(sized, EntrySize())
    assert not has_limits(LoadPolicy(), SIZE)


async def test_an_entry_whose_loop_is_late_accepts_no_runs_within_a_second() -> None:
    limits, _ = await started_limits(replace(SIZE, memory_mb=0.0, descriptors=0))
    assert limits.free() > 0

    started_at = time.monotonic()
    while limits.free() and time.monotonic() - started_at < 1.0:
        await asyncio.sleep(0)
        # The VM has turned slow: each step of the loop takes long.
        time.sleep(0.06)

    assert limits.free() == 0
    await limits.stop()


async def test_an_entry_near_its_memory_gives_runs_back(monkeypatch) -> None:
    limits, _ = await started_limits()
    given_back = []
    limits.streams = lambda: 8
    limits.give_back = given_back.append
    monkeypatch.setattr(entry_limits, "resident_mb", lambda: 0.95 * SIZE.memory_mb)
    await asyncio.sleep(0.4)

    assert limits.free() == 0
    assert given_back == [2]
    await limits.stop()


def test_measurements_of_this_process() -> None:
    before = open_descriptors()
    opened = [os.open("/dev/null", os.O_RDONLY) for _ in range(20)]
    after = open_descriptors()
    for descriptor in opened:
        os.close(descriptor)

    assert after - before == 20
    assert 5.0 < resident_mb() < 5000.0


def run_with(number: int, expected_tokens: int, *data: str) -> ActiveRun:
    item = replace(ASSIGNMENT.item, expected_tokens=expected_tokens)
    run = ActiveRun(replace(ASSIGNMENT, item=item, number=number), number)
    run.progress.data.extend(data)
    run.progress.versions.extend(4 for _ in data)
    return run


async def test_the_runs_that_last_longest_are_given_back_with_their_events() -> None:
    # An entry near a limit gives runs back before it is killed. Another runner goes on after the
    # last event, so the events must be reported, and neither the engine nor the item be blamed.
    runner = Runner.from_config(SETTINGS)
    runner._counters = Counters.from_config(None)
    short, long = run_with(1, 10, "a", "b"), run_with(2, 90, "a", "b", "c")
    unstarted = run_with(3, 500)
    for run in (short, long, unstarted):
        runner._runs.add(run)

        async def generate(run=run) -> str:
            try:
                await asyncio.sleep(60.0)
            except asyncio.CancelledError:
                return "broken"
            return "done"

        run.generate = generate
    runner._generate_text = lambda run: run.generate()
    runner._gate = type("Gate", (), {"item_refusal": lambda *_: None})()
    for run in (short, long, unstarted):
        run.start(runner._run_assignment(run, 0.0))
    await asyncio.sleep(0.01)

    runner._give_back(1)
    await asyncio.wait([long.task])

    (outcome,) = runner._pending_outcomes
    assert (outcome.number, outcome.kind, outcome.output) == (2, "returned", "a\nb\nc")
    assert not short.task.done() and not unstarted.task.done()
    short.cancel()
    unstarted.cancel()


def test_an_entry_of_unknown_size_accepts_as_many_runs_as_before() -> None:
    assert Runner.from_config(SETTINGS)._free_streams() == MAX_STREAMS
