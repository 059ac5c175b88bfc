"""Log lines of a daemon: how many come at rest and under load, and their processor time."""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import aiohttp

from bench._report import print_table
from integration.platform_system import LOOKUP, PlatformSystem, headers_of, platform_system

if TYPE_CHECKING:
    from collections.abc import Iterator

    from integration.processes import Process

SPAN_S = 6.0
USUAL_PER_S = 30
"""Requests a second to one entry; the aim is ten times as many."""

REFUSED_SHARE = 0.1
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
WITHOUT_LINES = (
    "import sys; sys.path.insert(0, {platform!r}); sys.path[:0] = {sources!r};"
    "import ibisspring_platform.main as daemon;"
    "daemon.log_to = lambda *arguments: None;"
    "sys.argv = ['start.py', 'entry']; daemon.main()"
)


@dataclass(frozen=True)
class Measured:
    """
    One entry under one load.

    :param lines_per_s: log lines.
    :param share: of one core.
    """

    per_s: int
    lines_per_s: float
    share: float


def processor_s(process: Process) -> float:
    """Processor time that a process took so far."""
    fields = Path(f"/proc/{process.popen.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


async def load(system: PlatformSystem, per_s: int) -> None:
    """Send requests at a rate, a tenth of them to a path without a route."""
    end = asyncio.get_running_loop().time() + SPAN_S
    refused_every = int(1 / REFUSED_SHARE)
    async with aiohttp.ClientSession() as session:

        async def send(number: int) -> None:
            path = f"{LOOKUP}{number}" if number % refused_every else "/nowhere"
            own = headers_of(f"r{per_s}-{number}")
            async with session.post(system.entry_url(1) + path, headers=own) as answer:
                await answer.read()

        sent = []
        number = 0
        while asyncio.get_running_loop().time() < end:
            if per_s:
                sent.append(asyncio.create_task(send(number)))
            number += 1
            await asyncio.sleep(1 / (per_s or 10))
        await asyncio.gather(*sent)


async def measure(system: PlatformSystem, per_s: int) -> Measured:
    """Measure the one entry under a load."""
    entry = system.process_by_name["entry-1"]
    lines, spent_s = len(entry.log.read_bytes().splitlines()), processor_s(entry)
    await load(system, per_s)
    more = len(entry.log.read_bytes().splitlines()) - lines
    return Measured(per_s, more / SPAN_S, (processor_s(entry) - spent_s) / SPAN_S)


@contextlib.contextmanager
def folder() -> Iterator[Path]:
    """A folder for one system."""
    with tempfile.TemporaryDirectory() as name:
        yield Path(name)


async def run(lines: bool) -> list[Measured]:
    """Start a system of one entry, with or without log lines, and measure three loads."""
    with folder() as path:
        async with platform_system(path, entries=1) as system:
            if not lines:
                await _restart_without_lines(system)
            return [await measure(system, per_s) for per_s in (0, USUAL_PER_S, 10 * USUAL_PER_S)]


async def _restart_without_lines(system: PlatformSystem) -> None:
    from integration.platform_system import wait_served
    from integration.processes import REPOSITORY

    sources = [str(one) for one in sorted(REPOSITORY.glob("packages/*/src"))]
    program = WITHOUT_LINES.format(platform=str(REPOSITORY / "platform"), sources=sources)
    entry = system.process_by_name["entry-1"]
    entry.kill()
    entry.arguments = [*entry.arguments[:2], sys.executable, "-OO", "-c", program]
    system.restart("entry-1")
    await wait_served(system, 1)


def main() -> None:
    """Print lines a second and processor time, with and without lines, in one run."""
    with_lines = asyncio.run(run(lines=True))
    without = asyncio.run(run(lines=False))
    rows = []
    for one, other in zip(with_lines, without, strict=True):
        ratio = one.share / other.share if other.share else 0.0
        rows.append(
            (
                str(one.per_s),
                f"{one.lines_per_s:.1f}",
                f"{one.share:.4f}",
                f"{other.share:.4f}",
                f"{ratio:.3f}",
            )
        )
    header = ("requests a second", "lines a second", "share of a core", "without lines", "ratio")
    print_table(header, rows)


if __name__ == "__main__":
    main()
