"""
Measures how soon accepted rules are in force on 8 entries and streams of a withdrawn key end.

Runs three control daemons and eight entries as processes on one machine, with default settings.
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
from integration.rules_system import KEY, RULE_COMMENT, RulesSystem, rules_text

CONTROLS = 3
ENTRIES = 8
APPLIES = 60
WITHDRAWALS = 6
IDLE_S = 15.0
US = 1e6
MAX_US = 120_000_000


@dataclass(frozen=True)
class Quantiles:
    """Median, 99th percentile and maximum, in milliseconds."""

    median_ms: float
    p99_ms: float
    max_ms: float

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
        return (f"{self.median_ms:.1f}", f"{self.p99_ms:.1f}", f"{self.max_ms:.1f}")


class _Bench:
    def __init__(self, folder: Path) -> None:
        self.system = RulesSystem.from_counts(folder, CONTROLS, ENTRIES)
        listens = [option.removeprefix("--control=") for option in self.system.options]
        self.client = ControlClient({listen: listen for listen in listens})
        self.version = 0

    async def apply(self, *extra: str, keys: tuple[str, ...] = (KEY,)) -> float:
        """Apply a rules file; returns the seconds until it is in force on every entry."""
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
        """Commit a command that waits for no entry, as the baseline; returns the seconds taken."""
        command = DrainEndpoint(f"engine-{number % 2}", "bench", cancel=number % 4 > 1)
        start = time.monotonic()
        await self.client.propose(command, new_request_id())
        return time.monotonic() - start

    async def withdraw(self) -> list[float]:
        """Withdraw the key of a stream on every entry; returns the seconds to each last token."""
        await self.apply(f"timeout archive-app {self.version + 1} s {RULE_COMMENT}")
        last_token_s = [0.0] * ENTRIES
        entries = self.system.entries()
        streams = [
            asyncio.create_task(self._read(self.system.cluster.url(entry), last_token_s, position))
            for position, entry in enumerate(entries)
        ]
        await wait_until(lambda: all(last_token_s), "the streams' first bytes")
        start = time.monotonic()
        await self.apply(keys=())
        await asyncio.gather(*streams)
        return [token_s - start for token_s in last_token_s]

    async def _read(self, url: str, last_token_s: list[float], position: int) -> None:
        body = {"model": "scorer-lm", "prompt": f"p{position}", "max_tokens": 100_000}
        body.update(stream=True, deadline_s=110)
        headers = {"Authorization": f"Bearer {KEY}"}
        async with (
            aiohttp.ClientSession() as session,
            session.post(f"{url}/v1/generate", json=body, headers=headers) as response,
        ):
            async for line in response.content:
                line_fields = json.loads(line)
                if "tokens" in line_fields:
                    last_token_s[position] = time.monotonic()
            reason = line_fields.get("error", {}).get("reason")
            if reason != "key_withdrawn":
                raise SystemExit(f"a stream ended by {reason}, not by its key")

    async def start(self) -> None:
        await self.system.bootstrap()
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
            await self.apply(f"timeout archive-app {number + 1} s {RULE_COMMENT}")
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
        header = ("time from the proposal to", "n", "median ms", "p99 ms", "most ms", "ratio")
        print_table(header, rows)
        print()
        await self.measure_idle()

    async def measure_idle(self) -> None:
        """Print the cost of the daemons while they send nothing but renewals and heartbeats."""
        leader = await self.system.leader()
        daemons = {"leader": leader, "entry": "e1"}
        before = {role: self._processor_s(daemon) for role, daemon in daemons.items()}
        start = time.monotonic()
        await asyncio.sleep(IDLE_S)
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
    """Run the benchmark and print its tables."""
    with tempfile.TemporaryDirectory(prefix="ibisspring-bench-") as folder:
        asyncio.run(_run(Path(folder)))


if __name__ == "__main__":
    sys.exit(main())
