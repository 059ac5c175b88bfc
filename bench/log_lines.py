"""Log lines of an entry: lines a second when idle and under load, and their processor time."""

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
"""Usual requests a second to one entry; the entry should also serve ten times as many."""

REFUSED_SHARE = 0.1
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PROGRAM_WITHOUT_LINES = (
    "import sys; sys.path.insert(0, {platform!r}); sys.path[:0] = {sources!r};"
    "import ibisspring_platform.main as daemon;"
    "daemon.log_to = lambda *arguments: None;"
    "sys.argv = ['start.py', 'entry']; daemon.main()"
)


@dataclass(frozen=True)
class Measured:
    """
    One entry under one load.

    :param per_s: requests a second.
    :param lines_per_s: log lines a second.
    :param core_share: share of one core that the entry spends.
    """

    per_s: int
    lines_per_s: float
    core_share: float


def processor_s(process: Process) -> float:
    """Return the processor seconds that a process has spent so far."""
    fields = Path(f"/proc/{process.popen.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


async def send_requests(system: PlatformSystem, per_s: int) -> None:
    """Send requests at a rate for `SPAN_S`, a tenth of them to a path without a route."""
    end = asyncio.get_running_loop().time() + SPAN_S
    refused_every = int(1 / REFUSED_SHARE)
    async with aiohttp.ClientSession() as session:

        async def send(number: int) -> None:
            path = f"{LOOKUP}{number}" if number % refused_every else "/nowhere"
            headers = headers_of(f"r{per_s}-{number}")
            async with session.post(system.entry_url(1) + path, headers=headers) as answer:
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
    """Measure the only entry of the system under a load."""
    entry = system.process_by_name["entry-1"]
    lines_before, spent_s = len(entry.log.read_bytes().splitlines()), processor_s(entry)
    await send_requests(system, per_s)
    new_lines = len(entry.log.read_bytes().splitlines()) - lines_before
    return Measured(per_s, new_lines / SPAN_S, (processor_s(entry) - spent_s) / SPAN_S)


@contextlib.contextmanager
def folder() -> Iterator[Path]:
    """Provide a temporary folder for the files of one system."""
    with tempfile.TemporaryDirectory() as name:
        yield Path(name)


async def run(write_lines: bool) -> list[Measured]:
    """Start a system of one entry, with or without log lines, and measure it under three loads."""
    with folder() as path:
        async with platform_system(path, entries=1) as system:
            if not write_lines:
                await _restart_without_lines(system)
            return [await measure(system, per_s) for per_s in (0, USUAL_PER_S, 10 * USUAL_PER_S)]


async def _restart_without_lines(system: PlatformSystem) -> None:
    from integration.platform_system import wait_served
    from integration.processes import REPOSITORY

    sources = [str(source) for source in sorted(REPOSITORY.glob("packages/*/src"))]
    program = PROGRAM_WITHOUT_LINES.format(platform=str(REPOSITORY / "platform"), sources=sources)
    entry = system.process_by_name["entry-1"]
    entry.kill()
    entry.arguments = [*entry.arguments[:2], sys.executable, "-OO", "-c", program]
    system.restart("entry-1")
    await wait_served(system, 1)


def main() -> None:
    """Print lines a second and processor time, and compare with an entry that writes no lines."""
    with_lines = asyncio.run(run(write_lines=True))
    without_lines = asyncio.run(run(write_lines=False))
    rows = []
    for measured, measured_without in zip(with_lines, without_lines, strict=True):
        ratio = (
            measured.core_share / measured_without.core_share
            if measured_without.core_share
            else 0.0
        )
        rows.append(
            (
                str(measured.per_s),
                f"{measured.lines_per_s:.1f}",
                f"{measured.core_share:.4f}",
                f"{measured_without.core_share:.4f}",
                f"{ratio:.3f}",
            )
        )
    header = ("requests a second", "lines a second", "share of a core", "without lines", "ratio")
    print_table(header, rows)


if __name__ == "__main__":
    main()
