"""
Random faults on a system of real processes: `make soak`, or one seed again by `--seed`.

Daemons are killed, frozen, stopped, wiped and started again while jobs and lookups go on; no more
disks are away at once than the system bears. What was accepted must be there afterwards, and what
was read must not change. A seed that shows a fault is kept in `tests/soak/seeds.txt`.
"""

from __future__ import annotations

import asyncio
import json
import logging
import random
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import click

from integration.platform_system import LOOKUP, PlatformSystem, job, platform_system
from integration.processes import wait_until

ENTRIES = 3
PAUSE_S = (0.3, 2.0)
AWAY_S = (0.3, 4.0)
SETTLE_S = 8.0
FAULTS = ("kill", "freeze", "stop", "wipe", "kill_all", "engine", "table")
SEEDS = Path(__file__).parent / "seeds.txt"


@dataclass
class Soak:
    """
    One run.

    :param read_by_job: results that were read, by job; they must come again.
    :param version: newest configuration that was acknowledged.
    """

    system: PlatformSystem
    source: random.Random
    until_s: float
    read_by_job: dict[str, list] = field(default_factory=dict)
    version: int = 1
    findings: list[str] = field(default_factory=list)

    def running(self) -> bool:
        return time.monotonic() < self.until_s

    async def faults(self) -> None:
        """One fault after the other; the next begins once the one before is over."""
        while self.running():
            await asyncio.sleep(self.source.uniform(*PAUSE_S))
            fault = self.source.choice(FAULTS)
            name = self.source.choice(sorted(self.system.process_by_name))
            away_s = self.source.uniform(*AWAY_S)
            print(f"{fault} {name} for {away_s:.1f} s", flush=True)
            await self._do(fault, name, away_s)
            if fault == "wipe":
                await asyncio.sleep(SETTLE_S)

    async def _do(self, fault: str, name: str, away_s: float) -> None:
        system = self.system
        process = system.process_by_name[name]
        if fault == "table":
            status = await system.put(self.version + 1)
            if status == 200:
                self.version += 1
        elif fault == "engine":
            engine = await system.add_engine("scorer", models={"m": 1})
            await asyncio.sleep(away_s)
            await engine.stop()
        elif fault == "freeze":
            process.freeze()
            await asyncio.sleep(away_s)
            process.thaw()
        elif fault == "kill_all":
            system.stop()
            for one in system.process_by_name:
                system.restart(one)
        elif fault == "stop":
            await process.terminate(bound_s=9.0)
            system.restart(name)
        else:
            process.kill()
            await asyncio.sleep(away_s)
            system.restart(name, wipe=fault == "wipe" and not name.startswith("entry"))

    async def jobs(self, lane: int) -> None:
        """Submit jobs and read their results until all are listed."""
        number = 0
        while self.running():
            number += 1
            name = f"lot-{lane}-{number}"
            await self.system.submit(name, job(8, prefix=f"{name}-"), entry=self._entry())
            await wait_until(lambda name=name: self._whole(name), f"all results of {name}", 90.0)

    def _entry(self) -> int:
        return self.source.randint(1, ENTRIES)

    async def _whole(self, name: str) -> bool:
        read = await self.system.results(name, self._entry())
        if read is None:
            return False
        before = self.read_by_job.get(name, [])
        if read["results"][: len(before)] != before[: len(read["results"])]:
            self.findings.append(f"{name}: a position changed")
        if len(read["results"]) > len(before):
            self.read_by_job[name] = read["results"]
        return len(read["results"]) == read["total"]

    async def lookups(self) -> None:
        """Each lookup gets its own answer or none."""
        number = 0
        while self.running():
            number += 1
            path = f"{LOOKUP}{number}"
            status, body = await self.system.call("POST", path, f"l{number}", None, self._entry())
            if status == 200 and body != path.encode():
                self.findings.append(f"{path}: got {body!r}")
            if status in (401, 404):
                self.findings.append(f"{path}: {status} though it is allowed")
            await asyncio.sleep(0.05)

    async def check(self) -> None:
        """Read again all that was accepted."""
        status, document = await self.system.control("GET", "/v1/Config.Read")
        if status != 200 or json.loads(document)["version"] < self.version:
            self.findings.append(f"the configuration is older than {self.version}")
        for name, before in self.read_by_job.items():
            read = await wait_until(lambda name=name: self.system.results(name), name)
            if read["results"][: len(before)] != before:
                self.findings.append(f"{name}: what was read does not come again")
            ids = [result["id"] for result in read["results"]]
            if len(ids) != len(set(ids)):
                self.findings.append(f"{name}: an item stands twice")
            for result in read["results"]:
                whole = "\n".join(f"{result['id']}-{n}" for n in range(1, 6))
                if result["state"] == "completed" and result["output"] != whole:
                    self.findings.append(f"{name}: {result['id']} is {result['output']!r}")


async def soak(seed: int, seconds: float) -> list[str]:
    """
    Run one seed.

    :param seconds: how long faults go on.
    :return: what was found.
    """
    with tempfile.TemporaryDirectory() as folder:
        async with platform_system(Path(folder), ENTRIES) as system:
            run = Soak(system, random.Random(seed), time.monotonic() + seconds)
            work = [run.jobs(lane) for lane in range(2)]
            ended = await asyncio.gather(run.faults(), run.lookups(), *work, return_exceptions=True)
            run.findings.extend(repr(one) for one in ended if isinstance(one, Exception))
            if not run.findings:
                await run.check()
            print(f"seed {seed}: {len(run.read_by_job)} jobs read, version {run.version}")
            return run.findings


@click.command()
@click.option("--seed", type=int, help="One seed; without it those of seeds.txt and a new one.")
@click.option("--seconds", default=40.0, show_default=True, help="How long faults go on.")
def main(seed: int | None, seconds: float) -> None:
    """Run random faults; exit code 1 where something was found."""
    # A run that its entry breaks off is no error of the stand-in engine.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    kept = [int(line.split()[0]) for line in SEEDS.read_text().splitlines() if line[:1].isdigit()]
    seeds = [seed] if seed is not None else [*kept, random.randrange(1 << 30)]
    failed = False
    for one in seeds:
        findings = asyncio.run(soak(one, seconds))
        for finding in findings:
            print(f"seed {one}: {finding}")
        failed = failed or bool(findings)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
