"""
Processor time, memory and traffic for control at rest, by counts of entries and endpoints.

Real daemons on one machine with default settings; the endpoints are announcements sent from here,
one a second each, through one entry each. Slopes are least-squares fits over all runs.
"""

from __future__ import annotations

import asyncio
import os
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from statistics import median

import aiohttp
import numpy

from bench._report import print_table
from integration.cluster import Cluster
from integration.processes import command_line, wait_until

COUNTS = ((2, 0), (4, 0), (8, 0), (16, 0), (24, 0), (8, 40), (8, 160), (16, 160))
SETTLE_S = 6.0
SPAN_S = 10.0
TICKS = os.sysconf("SC_CLK_TCK")
PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 1e6


@dataclass(frozen=True)
class Reading:
    """
    One run.

    :param leader_share: share of a core that the leader spends.
    :param entry_share: median share of a core over the entries.
    :param bytes_per_s: loopback traffic a second of everything on the machine, acknowledgements
        included.
    """

    entries: int
    endpoints: int
    leader_share: float
    entry_share: float
    leader_mb: float
    entry_mb: float
    bytes_per_s: float


def processor_s(pid: int) -> float:
    """User and system seconds of a process so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mb(pid: int) -> float:
    """Resident memory of a process."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_MB


def loopback_bytes() -> int:
    """Bytes that the loopback interface has carried."""
    for line in Path("/proc/net/dev").read_text().splitlines():
        name, _, figures = line.partition(":")
        if name.strip() == "lo":
            return int(figures.split()[0])
    return 0


async def announce(cluster: Cluster, number: int, entries: list[str]) -> None:
    """One endpoint's announcements until cancelled."""
    url = f"{cluster.url(entries[number % len(entries)])}/v1/announce"
    record = {
        "endpoint": f"engine-{number}",
        "incarnation": 1,
        "service": f"model-{number % 8}",
        "role": "engine",
        "kind": "standard",
        "data_centre": "derby",
        "address": f"127.0.0.1:{number + 1}",
        "load": {"running": 3, "queued": 0, "capacity": 8},
    }
    await asyncio.sleep(number % 100 / 100)
    async with aiohttp.ClientSession() as session:
        sequence = 0
        while True:
            sequence += 1
            async with session.post(url, json={**record, "sequence": sequence}) as response:
                await response.read()
            await asyncio.sleep(1.0)


async def measure(folder: Path, entries: int, endpoints: int) -> Reading:
    """Start a system, let it settle, and read what it spends."""
    cluster = Cluster.from_counts(folder, controls=3, entries=entries)
    names = [f"e{number + 1}" for number in range(entries)]
    options = [
        f"--control={section['control']['listen']}"
        for section in cluster.settings_by_daemon.values()
        if "control" in section
    ]
    tasks = []
    try:
        cluster.start_all()
        await wait_until(
            lambda: command_line(*options, "control", "bootstrap").returncode == 0, "bootstrap"
        )
        for name in names:
            await cluster.wait_ready(name)
        tasks = [
            asyncio.create_task(announce(cluster, number, names)) for number in range(endpoints)
        ]
        await asyncio.sleep(SETTLE_S)
        return await read(cluster, names, endpoints)
    finally:
        for task in tasks:
            task.cancel()
        cluster.stop_all()


async def read(cluster: Cluster, names: list[str], endpoints: int) -> Reading:
    """Processor time, memory and bytes over one span."""
    pid_by_name = {name: one.popen.pid for name, one in cluster.process_by_name.items()}
    before = {name: processor_s(pid) for name, pid in pid_by_name.items()}
    start_bytes, start_s = loopback_bytes(), time.monotonic()
    await asyncio.sleep(SPAN_S)
    span_s = time.monotonic() - start_s
    share = {name: (processor_s(pid) - before[name]) / span_s for name, pid in pid_by_name.items()}
    leader = max((name for name in share if name.startswith("c")), key=share.__getitem__)
    return Reading(
        len(names),
        endpoints,
        share[leader],
        median(share[name] for name in names),
        resident_mb(pid_by_name[leader]),
        median(resident_mb(pid_by_name[name]) for name in names),
        (loopback_bytes() - start_bytes) / span_s,
    )


def fit(readings: list[Reading], field: str) -> tuple[float, float, float]:
    """Least squares of a field: at rest, for each entry, for each endpoint."""
    places = numpy.array([[1.0, one.entries, one.endpoints] for one in readings])
    values = numpy.array([getattr(one, field) for one in readings])
    solution = numpy.linalg.lstsq(places, values, rcond=None)[0]
    return tuple(float(value) for value in solution)


def main() -> None:
    """Measure at all counts and print the readings and the slopes."""
    readings = []
    for entries, endpoints in COUNTS:
        with tempfile.TemporaryDirectory(prefix="ibisspring-slopes-") as folder:
            readings.append(asyncio.run(measure(Path(folder), entries, endpoints)))
    header = ("entries", "endpoints", "leader core", "entry core", "leader MB", "entry MB", "KB/s")
    rows = [
        (
            str(one.entries),
            str(one.endpoints),
            f"{one.leader_share:.2%}",
            f"{one.entry_share:.2%}",
            f"{one.leader_mb:.1f}",
            f"{one.entry_mb:.1f}",
            f"{one.bytes_per_s / 1000:.1f}",
        )
        for one in readings
    ]
    print_table(header, rows)
    print()
    print_table(
        ("figure", "at rest", "for each entry", "for each endpoint"),
        [
            (field, *(f"{value:.5f}" for value in fit(readings, field)))
            for field in ("leader_share", "entry_share", "leader_mb", "entry_mb", "bytes_per_s")
        ],
    )


if __name__ == "__main__":
    main()
