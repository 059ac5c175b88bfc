"""
Commits a second and their latency with synced disks, and the time to recover from a killed leader.

`python -m bench.commits [--seconds S] [--deaths N]` starts three replicas, each in a process of its
own, with the default time settings. Writers run in the leader's process, so that the figures are
those of the log and do not include a client interface.
"""

from __future__ import annotations

import asyncio
import statistics
import sys
import tempfile
import time
from pathlib import Path

import aiohttp
import click

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "tests"))

WRITERS = (1, 16, 128)
REPLICAS = 3


async def post(address: str, path: str) -> dict:
    async with aiohttp.ClientSession() as session:
        async with session.post(f"http://{address}{path}") as response:
            return await response.json()


async def measure_load(folder: Path, seconds: float) -> list[tuple[bool, int, dict]]:
    """Measure each count of writers with and without group commit."""
    from integration.replicas import Replicas

    replicas = Replicas.from_count(folder, REPLICAS, snapshot_every=1_000_000)
    replicas.module = "bench._commit_replica"
    rows = []
    try:
        await replicas.bootstrap()
        for grouped in (False, True):
            for address in replicas.http_by_daemon.values():
                await post(address, f"/group_commit?on={int(grouped)}")
            for writers in WRITERS:
                leader = replicas.http_by_daemon[await replicas.leader()]
                row = await post(leader, f"/load?writers={writers}&seconds={seconds}")
                rows.append((grouped, writers, row))
    finally:
        replicas.stop_all()
    return rows


async def measure_deaths(folder: Path, deaths: int) -> list[float]:
    """Kill the leader `deaths` times; returns the seconds until each next accepted write."""
    from integration.replicas import Replicas

    replicas = Replicas.from_count(folder, REPLICAS)
    times_s = []
    try:
        await replicas.bootstrap()
        for _ in range(deaths):
            leader = await replicas.leader()
            replicas.process(leader).kill()
            times_s.append(await _time_to_accept(replicas, leader))
            replicas.start(leader)
            await replicas.wait_answers(leader)
            await replicas.wait_lines(leader, ["after"])
    finally:
        replicas.stop_all()
    return times_s


async def _time_to_accept(replicas, killed: str) -> float:
    start = time.monotonic()
    others = [daemon for daemon in replicas.http_by_daemon if daemon != killed]
    while True:
        for daemon in others:
            answer = await replicas.propose(daemon, "after")
            if answer and "index" in answer:
                return time.monotonic() - start
        await asyncio.sleep(0.005)


def print_load(rows: list[tuple[bool, int, dict]], seconds: float) -> None:
    """Print the table; ratios are relative to the rate of one writer without group commit."""
    baseline = rows[0][2]["accepted"] / seconds
    click.echo("group commit | writers | commits/s | ratio | p50 ms | p99 ms | refused")
    for grouped, writers, row in rows:
        rate = row["accepted"] / seconds
        mode = "on" if grouped else "off"
        click.echo(
            f"{mode:>12} | {writers:7} | {rate:9.0f} | {rate / baseline:5.1f} "
            f"| {row['p50_us'] / 1000:6.2f} | {row['p99_us'] / 1000:6.2f} | {row['refused']}"
        )


def print_deaths(times: list[float]) -> None:
    """Print the times from the leader's end to the next accepted write."""
    if not times:
        return
    click.echo(
        f"leader killed {len(times)} times; seconds to the next accepted write: "
        f"median {statistics.median(times):.2f}, least {min(times):.2f}, most {max(times):.2f}"
    )


def main(seconds: float = 4.0, deaths: int = 10) -> None:
    """
    Measure and print.

    :param seconds: duration of the load for each line of the table.
    :param deaths: how many times the leader is killed.
    """
    with tempfile.TemporaryDirectory(dir=ROOT / "bench") as folder:
        rows = asyncio.run(measure_load(Path(folder) / "load", seconds))
        print_load(rows, seconds)
        print_deaths(asyncio.run(measure_deaths(Path(folder) / "deaths", deaths)))


@click.command()
@click.option("--seconds", default=4.0, help="Seconds for each line of the table.")
@click.option("--deaths", default=10, help="How often the leader is killed.")
def command(seconds: float, deaths: int) -> None:
    """Measure commits and leader changes."""
    main(seconds, deaths)


if __name__ == "__main__":
    command()
