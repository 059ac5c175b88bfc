"""Usage from the entry's meter to the report, under lost answers, restarts and lost reporters."""

from __future__ import annotations

import time
from typing import Any

import aiohttp
import pytest

from ibisspring_core.control_client import ControlClient
from ibisspring_core.counters import Counters
from ibisspring_core.kernel import Kernel
from ibisspring_core.messages.commands import AddUsage, UsageRecord
from integration.duties_system import DutiesSystem, senders_in_order
from integration.processes import free_address, python_module, wait_until
from integration.proxy import Mode
from integration.rules_system import KEY, rules_text

WINDOW_S = 4.0
COMMIT_WAIT_S = 10.0
SERVICE = "archive-app"


async def _add_usage(system: DutiesSystem, sequence: int, window: int, calls: int) -> None:
    """Send usage to control as an entry's meter does."""
    sections = system.cluster.settings_by_daemon
    client = ControlClient(
        {name: sections[name]["control"]["listen"] for name in ("c1", "c2", "c3")}
    )
    kernel = Kernel.from_services((Counters.from_config(None), client))
    await kernel.start()
    records = (UsageRecord("forge", SERVICE, 0, calls, 0.5),)
    command = AddUsage("e9", 1, sequence, window, records)
    added = await client.propose(command, f"usage-e9-1-{sequence}", total_s=60.0)
    await kernel.stop()
    assert added.window >= window, added


async def _counted_calls(system: DutiesSystem) -> int:
    """Return the number of calls in the replicated usage counts."""
    result = await system.rules.run_json("usage", "show")
    return sum(line["calls"] for window in result["windows"] for line in window["lines"])


async def _reports(system: DutiesSystem) -> list[dict[str, Any]]:
    return (await system.log("usage"))["reports"]


async def _reported_calls(system: DutiesSystem) -> int:
    """Return the number of calls in all windows that the usage interface has received."""
    lines_by_window = (await system.log("usage"))["lines_by_window"]
    return sum(line["calls"] for lines in lines_by_window.values() for line in lines)


@pytest.mark.parametrize("fault", ["kill", "freeze", "cut"])
async def test_a_reporter_lost_between_the_report_and_its_recording(tmp_path, fault) -> None:
    # The usage interface has received a window, and the leader that reported the window is killed,
    # frozen or partitioned before it could record the report. Late usage of the same window
    # arrives. The next leader must report the window with the same figures, and only after the old
    # leader stopped reporting; the late usage must go into a later window and be marked as late.
    system = await DutiesSystem.bootstrap(tmp_path, usage_window_s=WINDOW_S)
    try:
        await system.fault("usage", answer_late_s=1.5)
        window = int(time.time() // WINDOW_S)
        await _add_usage(system, 1, window, calls=10)
        report, *_ = await wait_until(lambda: _reports(system), "the first report")
        await _inject_fault(system, report["reporter"], fault)
        await _add_usage(system, 2, window, calls=3)
        await wait_until(
            lambda: _other_reporter(system, report["reporter"]), "the next reporter", 120.0
        )
        await system.fault("usage", answer_late_s=0.0)
        await _remove_fault(system, report["reporter"], fault)
        await wait_until(lambda: _all_reported(system, 13), "all usage to be reported", 120.0)

        assert await _reported_calls(system) == 13
        reports = await _reports(system)
        figures = {str(each["lines"]) for each in reports if each["window"] == report["window"]}
        assert len(figures) == 1
        assert report["lines"][0]["calls"] == 10
        late = [line for each in reports for line in each["lines"] if line["late"]]
        assert {line["calls"] for line in late} == {3}
        reporters = senders_in_order([{"sender": each["reporter"]} for each in reports])
        assert len(reporters) == len(set(reporters)), f"two reporters at a time: {reporters}"
    finally:
        await system.stop()


async def _inject_fault(system: DutiesSystem, daemon: str, fault: str) -> None:
    process = system.cluster.process_by_name[daemon]
    if fault == "kill":
        process.kill()
    elif fault == "freeze":
        process.freeze()
    else:
        await system.isolate(daemon)


async def _remove_fault(system: DutiesSystem, daemon: str, fault: str) -> None:
    if fault == "freeze":
        system.cluster.process_by_name[daemon].thaw()
    elif fault == "cut":
        await system.heal(daemon)


async def _other_reporter(system: DutiesSystem, other_than: str) -> bool:
    return any(report["reporter"] != other_than for report in await _reports(system))


async def _all_reported(system: DutiesSystem, calls: int) -> bool:
    return await _reported_calls(system) >= calls


async def _make_calls(system: DutiesSystem, count: int) -> None:
    url = f"{system.cluster.url('e1')}/v1/services/{SERVICE}/certificates/1"
    headers = {"Authorization": f"Bearer {KEY}"}

    async def answered() -> bool:
        async with aiohttp.ClientSession() as session:
            async with session.get(url, headers=headers) as response:
                return response.status == 200

    for _ in range(count):
        assert await wait_until(answered, "the call to be answered")


async def _drop_answers(system: DutiesSystem) -> None:
    for path, proxy in system.proxy_by_path.items():
        if path[0] == "e1":
            await proxy.set_modes(Mode.PASS, Mode.SILENT)


async def _restore_answers(system: DutiesSystem) -> None:
    for path, proxy in system.proxy_by_path.items():
        if path[0] == "e1":
            await proxy.heal()


async def _commit_unacknowledged(system: DutiesSystem) -> int:
    """
    Let the leader commit usage while its answers to the entry are lost, so that the entry resends.

    A connection that the entry opens after the fault is injected carries nothing at all. If the
    entry changed to such a connection before it sent its batch, the usage is not committed within
    `COMMIT_WAIT_S`; then the fault is removed and the attempt repeated with more calls.

    :return: the number of calls made in all attempts.
    """
    made = 0
    while True:
        await _make_calls(system, 5)
        made += 5
        await _drop_answers(system)
        try:
            await wait_until(
                lambda made=made: _has_counted(system, made), "the usage", COMMIT_WAIT_S
            )
        except AssertionError:
            await _restore_answers(system)
            await system.cluster.wait_ready("e1")
            continue
        return made


async def _start_service(system: DutiesSystem) -> None:
    arguments = ["--endpoint", "archive-1", "--listen", free_address(), "--service", SERVICE]
    arguments += ["--data-centre", "derby", "--entry", system.cluster.url("e1")]
    system.cluster.start_other("archive-1", python_module("fakes.plain", *arguments))


@pytest.mark.parametrize("stop_method", ["terminate", "kill"])
async def test_usage_is_billed_once_through_lost_answers_and_a_restart(
    tmp_path, stop_method
) -> None:
    # An entry sends its usage to control and the answers are lost, so the entry resends the same
    # usage. Then the entry is restarted. The client account must be billed exactly once a call.
    system = await DutiesSystem.bootstrap(tmp_path, usage_window_s=WINDOW_S)
    try:
        await system.rules.apply(rules_text(), 0)
        await _start_service(system)
        made = await _commit_unacknowledged(system)
        if stop_method == "kill":
            system.cluster.process_by_name["e1"].kill()
        await _restore_answers(system)
        if stop_method == "terminate":
            assert await system.cluster.process_by_name["e1"].terminate() == 0
        system.cluster.start("e1")
        await system.cluster.wait_ready("e1")
        await _make_calls(system, 4)

        total = made + 4
        await wait_until(lambda: _all_reported(system, total), "all usage to be reported", 120.0)
        assert await _reported_calls(system) == total
        assert await _counted_calls(system) == total
    finally:
        await system.stop()


async def _has_counted(system: DutiesSystem, calls: int) -> bool:
    return await _counted_calls(system) >= calls
