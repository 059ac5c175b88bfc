"""
Processor time, memory and control traffic without requests, by counts of entries and endpoints.

Runs daemons on one machine with default settings. The endpoints do not exist: this process sends
their announcements, one a second for each endpoint, to one entry each. Slopes are least-squares
fits over all runs.
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

# Entries and endpoints of each run.
COUNTS = ((2, 0), (4, 0), (8, 0), (16, 0), (24, 0), (8, 40), (8, 160), (16, 160))
SETTLE_S = 6.0
SPAN_S = 10.0
TICKS = os.sysconf("SC_CLK_TCK")
PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 1e6


@dataclass(frozen=True)
class Reading:
    """
    Figures of one run.

    :param leader_share: share of a core that the leader uses.
    :param entry_share: share of a core that an entry uses, the median over the entries.
    :param leader_mb: resident memory of the leader.
    :param entry_mb: resident memory of an entry, the median over the entries.
    :param bytes_per_s: loopback traffic a second of all processes on the machine, acknowledgements
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
    """Return the user and system seconds that a process has spent so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_MB


def loopback_bytes() -> int:
    """Return the bytes that the loopback interface has received so far."""
    for line in Path("/proc/net/dev").read_text().splitlines():
        name, _, figures = line.partition(":")
        if name.strip() == "lo":
            return int(figures.split()[0])
    return 0


async def announce(cluster: Cluster, number: int, entries: list[str]) -> None:
    """Send the announcements of one endpoint until cancelled."""
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
    """Start a system, wait `SETTLE_S`, and measure what it uses."""
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
        return await read_figures(cluster, names, endpoints)
    finally:
        for task in tasks:
            task.cancel()
        cluster.stop_all()


async def read_figures(cluster: Cluster, names: list[str], endpoints: int) -> Reading:
    """Measure processor time, memory and traffic over `SPAN_S`."""
    pid_by_name = {name: process.popen.pid for name, process in cluster.process_by_name.items()}
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
    """Fit a field by least squares; returns its base, and its slopes by entries and endpoints."""
    terms = numpy.array([[1.0, reading.entries, reading.endpoints] for reading in readings])
    values = numpy.array([getattr(reading, field) for reading in readings])
    solution = numpy.linalg.lstsq(terms, values, rcond=None)[0]
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
            str(reading.entries),
            str(reading.endpoints),
            f"{reading.leader_share:.2%}",
            f"{reading.entry_share:.2%}",
            f"{reading.leader_mb:.1f}",
            f"{reading.entry_mb:.1f}",
            f"{reading.bytes_per_s / 1000:.1f}",
        )
        for reading in readings
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
