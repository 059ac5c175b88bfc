"""
Injects random faults into a system of real processes: `make soak`, or `--seed` for one seed.

Two series of faults run concurrently, so that faults overlap. Daemons are killed, frozen, stopped,
wiped, kept from opening descriptors and restarted while jobs and lookups run. Connections between
daemons are reset or go silent for good, and jobs are held and released. Disks are wiped one
at a time, each after the other daemons with disks have caught up, so that the system never loses
more disks at once than it tolerates. Accepted jobs and configurations must exist afterwards,
results that were read must not change, and no daemon may end except by a fault. Stores are lost for
good and replaced by empty ones at other addresses, at times in the moment in which they take over.
Some endpoints answer without a length and reset a part of their connections. One caller repeats
a request that ends each endpoint that runs it: it must be stopped, and no other request with it.
Seeds that showed a defect are listed in `tests/soak/seeds.txt`.
"""

from __future__ import annotations

import asyncio
import json
import logging
import random
import resource
import shutil
import signal
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
import click

from ibisspring_cli.directory_leader import call_leader_of_directory
from ibisspring_cli.jobs_leader import call_leader_of_jobs
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.messages.crash_suspects import ReadSuspects
from ibisspring_core.messages.job_control import ChangeHold, HoldChanged, ReadJob
from ibisspring_core.messages.status import ReadJobsStatus
from ibisspring_core.request_ids import new_request_id
from ibisspring_core.suspect_state import standing_of
from ibisspring_decisions.crash_suspects import Standing
from integration.platform_system import (
    LOOKUP,
    PlatformSystem,
    headers_of,
    job,
    platform_system,
    request,
)
from integration.processes import wait_until
from integration.proxy import Mode

ENTRIES = 3
FAULT_SERIES = 2
LOOKUP_SERIES = 3
PAUSE_S = (0.3, 2.0)
FAULT_DURATION_S = (0.3, 4.0)
SETTLE_S = 8.0
POLL_S = 0.05
STOP_TIMEOUT_S = 9.0
FAULTS = ("kill", "freeze", "stop", "wipe", "descriptors", "kill_all", "engine", "table")
# A series with a random source of its own, so that the other faults of a seed stay the same.
LINK_FAULTS = ("connections", "hold")
# A request that ends the endpoint that runs it, and the time between two sendings of it. After the
# faults it may reach as many endpoints as are needed to know it, and then none.
CRASH_BODY = b"ends its endpoint"
CRASH_PATH = f"{LOOKUP}marked"
CRASH_PAUSE_S = (0.3, 1.5)
MAX_CRASHES_AFTER_FAULTS = 3
CRASH_CHECKS = 10
# Addresses of stores that are lost for good one after the other, and the pause between two losses.
SPARE_STORES = (4, 5, 6, 7, 8, 9)
STORE_LOSS_PAUSE_S = (2.0, 8.0)
TAKING_OVER_S = (3.0, 3.6)
SPARE_DESCRIPTORS = (0, 4)
MAX_DESCRIPTORS = 4096
SEEDS = Path(__file__).parent / "seeds.txt"


@dataclass
class Soak:
    """
    State of one run.

    :param end_s: monotonic time after which no new work and no new fault starts.
    :param results_by_job: results that were read, by job; later reads must return them again.
    :param version: newest configuration version that was acknowledged.
    :param sent_version: newest configuration version that was sent.
    :param findings: descriptions of the defects that were found.
    :param faulted: daemons with an active fault, on which no other fault starts.
    :param ending: daemons that an active fault ends.
    :param without_descriptors: daemons that are kept from opening descriptors.
    :param limited_at_start: process id of daemons whose limit of descriptors was lifted before they
        had started.
    :param log_size_by_name: size of a daemon's log at its last restart, in bytes.
    :param disk_fault_end_s: monotonic time at which the last fault on a daemon with a disk ended.
    :param wiping: held during a wipe, so that only one disk is wiped at a time.
    """

    system: PlatformSystem
    random_source: random.Random
    end_s: float
    results_by_job: dict[str, list] = field(default_factory=dict)
    version: int = 1
    sent_version: int = 1
    findings: list[str] = field(default_factory=list)
    faulted: set[str] = field(default_factory=set)
    ending: set[str] = field(default_factory=set)
    without_descriptors: set[str] = field(default_factory=set)
    limited_at_start: dict[str, int] = field(default_factory=dict)
    log_size_by_name: dict[str, int] = field(default_factory=dict)
    disk_fault_end_s: float = 0.0
    wiping: asyncio.Lock = field(default_factory=asyncio.Lock)

    def running(self) -> bool:
        return time.monotonic() < self.end_s

    async def faults(self) -> None:
        """Inject faults one after the other; the next starts after the previous one has ended."""
        while self.running():
            await asyncio.sleep(self.random_source.uniform(*PAUSE_S))
            fault = self.random_source.choice(FAULTS)
            free = sorted(set(self.system.process_by_name) - self.faulted)
            duration_s = self.random_source.uniform(*FAULT_DURATION_S)
            if not free:
                continue
            name = self.random_source.choice(free)
            print(f"{fault} {name} for {duration_s:.1f} s", flush=True)
            if fault == "kill_all":
                await self._kill_all()
            elif fault == "wipe":
                async with self.wiping:
                    await self._wait_for_replicas()
                    await self._apply_to_daemon(fault, name, duration_s)
            elif fault in ("engine", "table"):
                await self._apply_to_system(fault, duration_s)
            else:
                await self._apply_to_daemon(fault, name, duration_s)

    async def _wait_for_replicas(self) -> None:
        """Wait until no daemon with a disk had a fault for `SETTLE_S`, so that it can catch up."""
        while time.monotonic() < self.disk_fault_end_s + SETTLE_S:
            await asyncio.sleep(POLL_S)

    async def _apply_to_system(self, fault: str, duration_s: float) -> None:
        if fault == "engine":
            engine = await self.system.add_engine("scorer", models={"m": 1})
            await asyncio.sleep(duration_s)
            await engine.stop()
            return
        self.sent_version += 1
        version = self.sent_version
        if await self.system.put(version) == 200:
            self.version = max(self.version, version)

    async def link_faults(self, random_source: random.Random) -> None:
        """Hit connections between daemons, and hold and release jobs, one after the other."""
        while self.running():
            await asyncio.sleep(random_source.uniform(*PAUSE_S))
            fault = random_source.choice(LINK_FAULTS)
            duration_s = random_source.uniform(*FAULT_DURATION_S)
            print(f"{fault} for {duration_s:.1f} s", flush=True)
            if fault == "hold":
                await self._hold_a_job(duration_s)
            else:
                await self._hit_connections(random_source)

    async def store_losses(self, random_source: random.Random) -> None:
        """Lose a store for good, and at times the empty one that takes over from it as well."""
        spares = iter(SPARE_STORES)
        for spare in spares:
            await asyncio.sleep(random_source.uniform(*STORE_LOSS_PAUSE_S))
            async with self.wiping:
                await self._wait_for_replicas()
                free = sorted(self._free_stores())
                if not self.running():
                    return
                if not free:
                    continue
                new = await self._add_store(spare)
                await asyncio.sleep(random_source.uniform(0.0, 3.0))
                await self._lose_store(random_source.choice(free))
                successor = next(spares, None) if random_source.random() < 0.5 else None
                if successor is not None:
                    # After this time the lost store counts as silent, and the new one takes over.
                    await asyncio.sleep(random_source.uniform(*TAKING_OVER_S))
                    await self._lose_store(new)
                    await self._add_store(successor)
                self.disk_fault_end_s = time.monotonic()

    async def _add_store(self, number: int) -> str:
        name = f"store-{number}"
        self.system.add("store", number, bootstrap=False).start()
        await self.system.add_proxy(name)
        return name

    async def _lose_store(self, name: str) -> None:
        while name in self.faulted:
            await asyncio.sleep(POLL_S)
        print(f"lose {name}", flush=True)
        self.system.process_by_name.pop(name).kill()

    def _free_stores(self) -> set[str]:
        names = set(self.system.process_by_name) - self.faulted
        return {name for name in names if name.startswith("store")}

    async def _hit_connections(self, random_source: random.Random) -> None:
        """Reset the open connections to some daemons, or silence them for good."""
        is_reset = random_source.random() < 0.5
        for proxy in self.system.proxy_by_name.values():
            if random_source.random() < 0.5:
                continue
            if is_reset:
                proxy.reset_open()
            else:
                await proxy.set_modes_of_open(Mode.SILENT, Mode.SILENT)

    async def _hold_a_job(self, duration_s: float) -> None:
        """Hold the newest job for a while; its results must be complete in the end all the same."""
        seeds = tuple(self.system.peer_seeds())
        status = await self._ask(seeds, ReadJobsStatus())
        open_jobs = [job.job for job in status.jobs if job.listed < job.total]
        if not open_jobs:
            return
        for held in (True, False):
            answer = None
            while not isinstance(answer, HoldChanged):
                read = await self._ask(seeds, ReadJob(open_jobs[0]))
                message = ChangeHold(open_jobs[0], held, new_request_id(), read.hold_request)
                answer = await self._ask(seeds, message)
            await asyncio.sleep(duration_s)

    async def _ask(self, seeds: tuple[str, ...], message: Any) -> Any:
        """Call the jobs' leader until it answers."""
        while True:
            answer = await call_leader_of_jobs(seeds, message, STOP_TIMEOUT_S)
            if not isinstance(answer, Refusal) or answer.reason is not Reason.NO_LEADER:
                return answer

    async def _kill_all(self) -> None:
        while self.faulted:
            await asyncio.sleep(POLL_S)
        names = set(self.system.process_by_name)
        self.faulted |= names
        self.system.stop()
        for name in names:
            self._restart(name)
        self.faulted -= names
        self.disk_fault_end_s = time.monotonic()

    async def _apply_to_daemon(self, fault: str, name: str, duration_s: float) -> None:
        if name in self.faulted or name not in self.system.process_by_name:
            return
        self.faulted.add(name)
        try:
            if fault == "freeze":
                await self._freeze(name, duration_s)
            elif fault == "descriptors":
                await self._limit_descriptors(name, duration_s)
            else:
                self.ending.add(name)
                await self._end_process(fault, name, duration_s)
        finally:
            self.ending.discard(name)
            self.faulted.discard(name)
            if not name.startswith("entry"):
                self.disk_fault_end_s = time.monotonic()

    async def _freeze(self, name: str, duration_s: float) -> None:
        process = self.system.process_by_name[name]
        process.freeze()
        await asyncio.sleep(duration_s)
        process.thaw()

    async def _limit_descriptors(self, name: str, duration_s: float) -> None:
        process = self.system.process_by_name[name]
        pid = process.popen.pid
        opened = len(list(Path(f"/proc/{pid}/fd").iterdir()))
        limit = opened + self.random_source.randint(*SPARE_DESCRIPTORS)
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (limit, MAX_DESCRIPTORS))
        self.without_descriptors.add(name)
        await asyncio.sleep(duration_s)
        if not self._started(name):
            # It may have failed to open a descriptor already, and end only now.
            self.limited_at_start[name] = pid
        self.without_descriptors.discard(name)
        if process.alive() and process.popen.pid == pid:
            resource.prlimit(pid, resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS, MAX_DESCRIPTORS))

    async def _end_process(self, fault: str, name: str, duration_s: float) -> None:
        process = self.system.process_by_name[name]
        if fault == "stop":
            started = self._started(name)
            code = await process.terminate(STOP_TIMEOUT_S)
            # Before the daemon has logged its start, SIGTERM itself may end the process.
            if code != 0 and (started or code != -signal.SIGTERM):
                self.findings.append(f"{name}: stopped with code {code}")
        else:
            process.kill()
            await asyncio.sleep(duration_s)
        self._restart(name, wipe=fault == "wipe" and not name.startswith("entry"))

    def _restart(self, name: str, wipe: bool = False) -> None:
        self.log_size_by_name[name] = self.system.process_by_name[name].log.stat().st_size
        self.system.restart(name, wipe)

    def _started(self, name: str) -> bool:
        return b'"daemon:started"' in self._new_log(name)

    def _new_log(self, name: str) -> bytes:
        log = self.system.process_by_name[name].log.read_bytes()
        return log[self.log_size_by_name.get(name, 0) :]

    async def watch(self) -> None:
        """Record a finding for each daemon that ends without a fault."""
        ended: set[str] = set()
        while self.running():
            for name, process in self.system.process_by_name.items():
                if process.alive() or name in self.ending or name in ended:
                    continue
                code = process.popen.poll()
                # Without a free descriptor the interpreter can't import modules and exits with 1.
                limited = name in self.without_descriptors or (
                    self.limited_at_start.get(name) == process.popen.pid
                    and b"Too many open files" in self._new_log(name)
                )
                if limited and code == 1 and not self._started(name):
                    self._restart(name)
                    continue
                ended.add(name)
                self.findings.append(f"{name}: ended by itself with code {code}")
            await asyncio.sleep(POLL_S)

    async def jobs(self, series: int) -> None:
        """Submit one job after the other and read the results of each until all are listed."""
        number = 0
        while self.running():
            number += 1
            name = f"lot-{series}-{number}"
            await self.system.submit(name, job(8, prefix=f"{name}-"), entry=self._entry())
            await wait_until(
                lambda name=name: self._read_to_end(name), f"all results of {name}", 90.0
            )

    def _entry(self) -> int:
        return self.random_source.randint(1, ENTRIES)

    async def _read_to_end(self, name: str) -> bool:
        read = await self.system.results(name, self._entry())
        if read is None:
            return False
        earlier = self.results_by_job.get(name, [])
        if read["results"][: len(earlier)] != earlier[: len(read["results"])]:
            self.findings.append(f"{name}: a result that was read before changed")
        if len(read["results"]) > len(earlier):
            self.results_by_job[name] = read["results"]
        return len(read["results"]) == read["total"]

    async def lookups(self, series: int) -> None:
        """Make lookups over persistent connections; each must get its own answer or none."""
        number = 0
        timeout = aiohttp.ClientTimeout(total=5.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while self.running():
                number += 1
                await self._lookup(session, f"l{series}-{number}")
                await asyncio.sleep(POLL_S)

    async def _lookup(self, session: aiohttp.ClientSession, attempt: str) -> None:
        path = f"{LOOKUP}{attempt}"
        url = self.system.entry_url(self._entry()) + path
        try:
            async with session.post(url, headers=headers_of(attempt)) as answer:
                body = await answer.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return
        if answer.status == 200 and body != path.encode():
            self.findings.append(f"{path}: got {body!r}")
        if answer.status in (401, 404):
            self.findings.append(f"{path}: answered {answer.status} although the lookup is allowed")

    async def crashing_requests(self, random_source: random.Random) -> None:
        """Repeat a request that ends its endpoint, each time at another entry."""
        number = 0
        while self.running():
            number += 1
            await self._send_crashing(f"marked-{number}", random_source.randint(1, ENTRIES))
            await asyncio.sleep(random_source.uniform(*CRASH_PAUSE_S))

    async def _send_crashing(self, attempt: str, entry: int) -> int:
        url = self.system.entry_url(entry) + CRASH_PATH
        status, _ = await request("POST", url, CRASH_BODY, headers_of(attempt))
        return status

    async def check_crashing_request(self) -> None:
        """Check that the request is stopped at every entry, and that no other one is."""
        before = self._crashes()

        async def quarantined() -> bool:
            await self._send_crashing(f"late-{time.monotonic()}", self._entry())
            answer = await self._ask_directory(ReadSuspects())
            found = {one.target: standing_of(one) for one in answer.suspects}
            others = [target for target in found if target != CRASH_PATH]
            if any(found[target] is Standing.QUARANTINED for target in others):
                self.findings.append(f"requests in quarantine: {found}")
            return found.get(CRASH_PATH) is Standing.QUARANTINED

        await wait_until(quarantined, "the request that ends its endpoints to be known", 60.0)
        if self._crashes() - before > MAX_CRASHES_AFTER_FAULTS:
            self.findings.append(f"{self._crashes() - before} sendings until a request was known")
        before = self._crashes()
        for number in range(CRASH_CHECKS):
            await self._send_crashing(f"last-{number}", number % ENTRIES + 1)
        if self._crashes() != before:
            self.findings.append("a request in quarantine was sent to an endpoint")

    def _crashes(self) -> int:
        return sum(len(engine.crash_calls_at) for engine in self.system.engines)

    async def _ask_directory(self, message: Any) -> Any:
        """Call the directory's leader until it answers."""
        while True:
            answer = await call_leader_of_directory(
                tuple(self.system.peer_seeds()), message, STOP_TIMEOUT_S
            )
            if not isinstance(answer, Refusal):
                return answer

    async def check(self) -> None:
        """Check that the configuration and the job results that were read are still available."""
        status, document = await self.system.control("GET", "/v1/Config.Read")
        if status != 200 or json.loads(document)["version"] < self.version:
            self.findings.append(f"the configuration is older than {self.version}")
        for name, earlier in self.results_by_job.items():
            read = await wait_until(lambda name=name: self.system.results(name), name)
            if read["results"][: len(earlier)] != earlier:
                self.findings.append(
                    f"{name}: results that were read before are missing or changed"
                )
            ids = [result["id"] for result in read["results"]]
            if len(ids) != len(set(ids)):
                self.findings.append(f"{name}: an item is listed twice")
            for result in read["results"]:
                expected_output = "\n".join(f"{result['id']}-{n}" for n in range(1, 6))
                if result["state"] == "completed" and result["output"] != expected_output:
                    self.findings.append(f"{name}: {result['id']} is {result['output']!r}")


async def soak(seed: int, seconds: float) -> list[str]:
    """
    Run the faults of one seed.

    :param seconds: how long new faults are injected.
    :return: descriptions of the defects that were found.
    """
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    async with platform_system(folder, ENTRIES, proxied=True) as system:
        for _ in range(2):
            await system.add_engine("archive")
        for engine in system.engines:
            engine.crash_body = CRASH_BODY
        for number, engine in enumerate(system.engines):
            # Some endpoints of each service answer with a length.
            engine.resets = random.Random(seed + number) if number % 2 else None
        run = Soak(system, random.Random(seed), time.monotonic() + seconds)
        work = [run.faults() for _ in range(FAULT_SERIES)]
        work.append(run.link_faults(random.Random(-seed)))
        work.append(run.store_losses(random.Random(seed + 2)))
        work.append(run.crashing_requests(random.Random(seed + 1)))
        work += [run.lookups(series) for series in range(LOOKUP_SERIES)]
        work += [run.jobs(series) for series in range(2)]
        ended = await asyncio.gather(run.watch(), *work, return_exceptions=True)
        run.findings.extend(repr(one) for one in ended if isinstance(one, Exception))
        if not run.findings:
            await run.check()
            await run.check_crashing_request()
    print(f"seed {seed}: {len(run.results_by_job)} jobs read, version {run.version}")
    if run.findings:
        print(f"seed {seed}: the logs of all daemons are in {folder}")
    else:
        shutil.rmtree(folder)
    return run.findings


@click.command()
@click.option("--seed", type=int, help="Seed to run; by default those in seeds.txt and a new one.")
@click.option("--seconds", default=40.0, show_default=True, help="How long faults are injected.")
def main(seed: int | None, seconds: float) -> None:
    """Run random faults; the exit code is 1 if a defect was found."""
    # Hides the errors that aiohttp logs in the fake engines when an entry aborts a run.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    listed_seeds = [
        int(line.split()[0]) for line in SEEDS.read_text().splitlines() if line[:1].isdigit()
    ]
    seeds = [seed] if seed is not None else [*listed_seeds, random.randrange(1 << 30)]
    failed = False
    for one in seeds:
        findings = asyncio.run(soak(one, seconds))
        for finding in findings:
            print(f"seed {one}: {finding}")
        failed = failed or bool(findings)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
