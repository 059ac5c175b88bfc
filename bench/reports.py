"""
Lateness and correctness of usage reports, with real processes.

Usage is sent in each window. The lateness of a report is the time from its window's end to its
arrival; it is measured without faults and with the leader killed once. Reports are wrong where the
calls that they give differ from the calls sent.
"""

from __future__ import annotations

import asyncio
import tempfile
import time
from pathlib import Path
from typing import Any

from bench._report import print_table, spread
from ibisspring_core.control_client import ControlClient
from ibisspring_core.counters import Counters
from ibisspring_core.kernel import Kernel
from ibisspring_core.messages.commands import AddUsage, UsageRecord
from integration.duties_system import CONTROLS, DutiesSystem
from integration.processes import wait_until

WINDOW_S = 4.0
WINDOWS = 8
SEND_EVERY_S = 0.5
KILL_IN_WINDOW = 3


async def replay(folder: Path, kill: bool) -> tuple[list[float], int, int, int]:
    """
    Send usage during `WINDOWS` windows and wait for the reports.

    :param kill: whether the leader is killed in window `KILL_IN_WINDOW`.
    :return: lateness of each window in seconds, calls sent, calls reported, late lines.
    """
    system = await DutiesSystem.bootstrap(folder, usage_window_s=WINDOW_S)
    sections = system.cluster.settings_by_daemon
    client = ControlClient({name: sections[name]["control"]["listen"] for name in CONTROLS})
    kernel = Kernel.from_services((Counters.from_config(None), client))
    await kernel.start()
    try:
        first = int(time.time() // WINDOW_S) + 1
        calls = 0
        killed = not kill
        while (window := int(time.time() // WINDOW_S)) < first + WINDOWS:
            if not killed and window >= first + KILL_IN_WINDOW:
                killed = True
                leader = await system.rules.leader()
                system.cluster.process_by_name[leader].kill()
            if window >= first:
                calls += 1
                await _add(client, calls, window)
            await asyncio.sleep(SEND_EVERY_S)
        await wait_until(lambda: _all_reported(system, calls), "all reports", 120.0)
        return await _figures(system, calls)
    finally:
        await kernel.stop()
        await system.stop()


async def _add(client: ControlClient, sequence: int, window: int) -> None:
    records = (UsageRecord("forge", "scorer-lm", 10, 1, 0.1),)
    command = AddUsage("e9", 1, sequence, window, records)
    await client.propose(command, f"usage-e9-1-{sequence}", total_s=60.0)


async def _all_reported(system: DutiesSystem, calls: int) -> bool:
    lines_by_window = (await system.log("usage"))["lines_by_window"]
    return sum(line["calls"] for lines in lines_by_window.values() for line in lines) >= calls


async def _figures(system: DutiesSystem, calls: int) -> tuple[list[float], int, int, int]:
    log = await system.log("usage")
    arrived_by_window: dict[int, float] = {}
    for report in log["reports"]:
        arrived_by_window.setdefault(report["window"], report["received_s"])
    lines = [line for lines in log["lines_by_window"].values() for line in lines]
    lateness = [at_s - (window + 1) * WINDOW_S for window, at_s in arrived_by_window.items()]
    late = sum(1 for line in lines if line["late"])
    return lateness, calls, sum(line["calls"] for line in lines), late


async def _run() -> list[tuple[Any, ...]]:
    rows = []
    for name, kill in (("quiet", False), ("leader killed once", True)):
        with tempfile.TemporaryDirectory(prefix="ibisspring-bench-") as folder:
            lateness, sent, reported, late = await replay(Path(folder), kill)
        rows.append((name, spread(lateness), str(sent), str(reported), str(late)))
    return rows


def main() -> None:
    """Print the table."""
    header = (
        "case",
        "lateness of a window, s",
        "calls handed over",
        "calls reported",
        "late lines",
    )
    print_table(header, asyncio.run(_run()))
    print(f"windows of {WINDOW_S} s, closed 3 s after their end")


if __name__ == "__main__":
    main()
