"""
Measures how soon accepted rules act: on 8 entries, and on streams whose key is withdrawn.

Three control daemons and eight entries as real processes on one machine, default settings.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import aiohttp
from hdrh.histogram import HdrHistogram

from bench._report import print_table
from ibisspring_core.control_client import ControlClient
from ibisspring_core.messages.commands import ApplyRules, DrainEndpoint, RulesApplied
from ibisspring_core.request_ids import new_request_id
from integration.processes import free_address, python_module, wait_until
from integration.rules_system import ASKED, KEY, RulesSystem, rules_text

CONTROLS = 3
ENTRIES = 8
APPLIES = 60
WITHDRAWALS = 6
REST_S = 15.0
US = 1e6
MAX_US = 120_000_000


@dataclass(frozen=True)
class Quantiles:
    """Median, 99th percentile and most, in milliseconds."""

    median_ms: float
    p99_ms: float
    most_ms: float

    @classmethod
    def from_seconds(cls, values: list[float]) -> Quantiles:
        histogram = HdrHistogram(1, MAX_US, 3)
        for value in values:
            histogram.record_value(max(1, int(value * US)))
        return cls(
            histogram.get_value_at_percentile(50) / 1e3,
            histogram.get_value_at_percentile(99) / 1e3,
            histogram.get_max_value() / 1e3,
        )

    def cells(self) -> tuple[str, ...]:
        return (f"{self.median_ms:.1f}", f"{self.p99_ms:.1f}", f"{self.most_ms:.1f}")


class _Bench:
    def __init__(self, folder: Path) -> None:
        self.system = RulesSystem.from_counts(folder, CONTROLS, ENTRIES)
        listens = [option.removeprefix("--control=") for option in self.system.options]
        self.client = ControlClient({listen: listen for listen in listens})
        self.version = 0

    async def apply(self, *extra: str, keys: tuple[str, ...] = (KEY,)) -> float:
        """Apply a file; seconds until it is in force on every entry."""
        text = rules_text(*extra, keys=keys)
        command = ApplyRules(self.version, text, "bench")
        start = time.monotonic()
        applied = await self.client.propose(command, new_request_id(), total_s=60.0)
        took_s = time.monotonic() - start
        if not isinstance(applied, RulesApplied):
            raise SystemExit(f"not applied: {applied}")
        self.version = applied.version
        return took_s

    async def commit(self, number: int) -> float:
        """The baseline: commit a command that waits for no entry."""
        command = DrainEndpoint(f"engine-{number % 2}", "bench", cancel=number % 4 > 1)
        start = time.monotonic()
        await self.client.propose(command, new_request_id())
        return time.monotonic() - start

    async def withdraw(self) -> list[float]:
        """Open a stream on every entry, withdraw its key; seconds to each one's last byte."""
        await self.apply(f"timeout archive-app {self.version + 1} s {ASKED}")
        last_s = [0.0] * ENTRIES
        entries = self.system.entries()
        streams = [
            asyncio.create_task(self._read(self.system.cluster.url(entry), last_s, place))
            for place, entry in enumerate(entries)
        ]
        await wait_until(lambda: all(last_s), "the streams' first bytes")
        start = time.monotonic()
        await self.apply(keys=())
        await asyncio.gather(*streams)
        return [at - start for at in last_s]

    async def _read(self, url: str, last_s: list[float], place: int) -> None:
        body = {"model": "scorer-lm", "prompt": f"p{place}", "max_tokens": 100_000}
        body.update(stream=True, deadline_s=110)
        headers = {"Authorization": f"Bearer {KEY}"}
        async with (
            aiohttp.ClientSession() as session,
            session.post(f"{url}/v1/generate", json=body, headers=headers) as response,
        ):
            async for line in response.content:
                read = json.loads(line)
                if "tokens" in read:
                    last_s[place] = time.monotonic()
            reason = read.get("error", {}).get("reason")
            if reason != "key_withdrawn":
                raise SystemExit(f"a stream ended by {reason}, not by its key")

    async def start(self) -> None:
        await self.system.found()
        arguments = ["--endpoint", "engine-a", "--listen", free_address()]
        arguments += ["--tokens-per-s", "200", "--capacity", "64"]
        for entry in self.system.entries():
            arguments += ["--entry", self.system.cluster.url(entry)]
        self.system.cluster.start_other("engine-a", python_module("fakes.engine", *arguments))

    async def run(self) -> None:
        await self.start()
        await self.apply()
        commits = [await self.commit(number) for number in range(APPLIES)]
        in_force = [
            await self.apply(f"timeout archive-app {number + 1} s {ASKED}")
            for number in range(APPLIES)
        ]
        last_bytes: list[float] = []
        for _ in range(WITHDRAWALS):
            last_bytes += await self.withdraw()
        committed = Quantiles.from_seconds(commits)
        rows = []
        for name, values in (
            ("commit alone", commits),
            (f"accepted and in force on {ENTRIES} entries", in_force),
            ("last token served under a withdrawn key", last_bytes),
        ):
            quantiles = Quantiles.from_seconds(values)
            ratio = f"{quantiles.median_ms / committed.median_ms:.1f}"
            rows.append((name, str(len(values)), *quantiles.cells(), ratio))
        head = ("time from the proposal to", "n", "median ms", "p99 ms", "most ms", "ratio")
        print_table(head, rows)
        print()
        await self.rest()

    async def rest(self) -> None:
        """Processor time of the daemons while nothing happens but renewals and heartbeats."""
        leader = await self.system.leader()
        daemons = {"leader": leader, "entry": "e1"}
        before = {role: self._processor_s(daemon) for role, daemon in daemons.items()}
        start = time.monotonic()
        await asyncio.sleep(REST_S)
        passed_s = time.monotonic() - start
        rows = []
        for role, daemon in daemons.items():
            spent_s = self._processor_s(daemon) - before[role]
            rows.append(
                (role, f"{100 * spent_s / passed_s:.2f}", f"{self._resident_mb(daemon):.0f}")
            )
        print_table((f"at rest, {ENTRIES} entries", "% of a core", "resident MB"), rows)

    def _processor_s(self, daemon: str) -> float:
        pid = self.system.cluster.process_by_name[daemon].popen.pid
        fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def _resident_mb(self, daemon: str) -> float:
        pid = self.system.cluster.process_by_name[daemon].popen.pid
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


async def _run(folder: Path) -> None:
    bench = _Bench(folder)
    try:
        await bench.run()
    finally:
        await bench.client.stop()
        bench.system.stop_all()


def main() -> None:
    """Run the benchmark and print its table."""
    with tempfile.TemporaryDirectory(prefix="ibisspring-bench-") as folder:
        asyncio.run(_run(Path(folder)))


if __name__ == "__main__":
    sys.exit(main())
