"""
A small system for the cases of the second review: real daemons, stand-ins for everything else.

The daemons are started by the commands of `deploy/system.toml`, on loopback addresses, with
settings files like those of a small deployment. Engines and callers are stand-ins in this process.
Every event that a rule depends on is written to the case's `record.txt`.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

ROOT = Path(__file__).resolve().parent.parent
ZONES = ("ljubljana", "maribor", "koper")
HOST = "ficu95.example"
KEY = "2b9wu3fexd9dnn2ctnfz"
TENANT = "huka270"
MODEL = "daka510000"
LOOKUP = "/lohu930/"
SCORE = "/pufi791/"
MAX_BODY_BYTES = 33_554_432
CONTACT_S = 3.0
SETTLE_S = 1.0
HELD = 0
BROKEN = 1
NOT_RUN = 2
# A case runs for two minutes at most, with the end of its processes.
LIMIT_S = 110.0


class NotRunError(Exception):
    """The case could not be run, so it shows nothing."""


class Record:
    """The case's `record.txt`: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started

    def write(self, text: str) -> None:
        """Append a line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


class Engine:
    """
    A stand-in for a model engine or a plain server.

    It announces itself, checks `Expect-Instance` and `Expect-Version`, refuses what is beyond its
    slots with `Not-Executed`, and streams the events of `text_of`.

    :param runs: (seconds of start, seconds of end or None, item, events sent) of each run.
    """

    def __init__(
        self, record: Record, number: int, ip: str, port: int, seeds: list[str], **terms: Any
    ) -> None:
        self.record = record
        self.id = f"i-{number:08x}"
        self.address = f"{ip}:{port}"
        self.seeds = seeds
        self.service = terms["service"]
        self.slots = terms.get("slots", 12)
        self.events = terms.get("events", 5)
        self.event_s = terms.get("event_s", 0.05)
        self.text_of: Callable[[str, int], str] = terms.get(
            "text_of", lambda item, n: f"{item}-{n}"
        )
        self.models = {MODEL: 1} if terms.get("model", True) else {}
        # Items that fail at each run, and the seconds until they do.
        self.failing: frozenset[str] = terms.get("failing", frozenset())
        self.failing_after_s = terms.get("failing_after_s", 0.0)
        self.failed_at: list[float] = []
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs: list[list[Any]] = []
        self.running = 0
        self.orders = 0

    async def start(self) -> None:
        """Listen and begin to send heartbeats."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_get("/v1/report", self._report)
        app.router.add_post("/v1/order", self._order)
        app.router.add_route("*", "/{path:.*}", self._run)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        ip, port = self.address.split(":")
        await web.TCPSite(self._runner, ip, int(port)).start()
        self._beats = asyncio.create_task(self._beat())

    async def stop(self) -> None:
        """Stop listening and announcing."""
        self._beats.cancel()
        await self._runner.cleanup()

    def heartbeat(self) -> dict:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        models = [{"name": n, "version": v, "adapters": []} for n, v in self.models.items()]
        return {
            "service": self.service,
            "address": self.address,
            "zone": ZONES[0],
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_left_ms": 0,
            "stage": "hybrid",
            "models": models,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def _beat(self) -> None:
        seeds = list(self.seeds)
        while True:
            for _ in range(len(seeds)):
                status, _ = await http(
                    "POST",
                    f"http://{seeds[0]}/v1/Instances.Heartbeat/{self.id}",
                    json.dumps(self.heartbeat()).encode(),
                    {},
                    1.0,
                )
                if 200 <= status < 300:
                    break
                seeds.append(seeds.pop(0))
            await asyncio.sleep(1.2)

    async def _report(self, request: web.Request) -> web.Response:
        models = [{"name": n, "version": v, "adapters": []} for n, v in self.models.items()]
        return web.json_response(
            {
                "stage": "hybrid",
                "models": models,
                "busy": False,
                "sequence": self.orders,
                "queued": 0,
                "running": self.running,
            }
        )

    async def _order(self, request: web.Request) -> web.Response:
        order = await request.json()
        self.orders += 1
        self.models[order["model"]] = order["version"]
        return web.Response(status=202)

    async def _run(self, request: web.Request) -> web.StreamResponse:
        await request.read()
        item = request.headers.get("Attempt-Id", "")
        head = {"Attempt-Id": item}
        version = self.models.get(MODEL, 0)
        if request.headers.get("Expect-Instance", self.id) != self.id or (
            self.models and request.headers.get("Expect-Version", str(version)) != str(version)
        ):
            return web.Response(status=421, headers=head)
        if self.running >= self.slots:
            return web.Response(status=503, headers={**head, "Not-Executed": "full"})
        head["Server-Stamp"] = f"3e1b.{self.id}"
        run = [round(self.record.now(), 3), None, item, 0]
        self.runs.append(run)
        self.running += 1
        self.record.write(
            f"run begins at {self.id}: {request.path} id {item} target {request.raw_path}"
            f" after event {request.headers.get('Last-Event-Id', '0')},"
            f" tenant {request.headers.get('Tenant')!r}"
        )
        try:
            if item in self.failing:
                await asyncio.sleep(self.failing_after_s)
                if request.transport is None or request.transport.is_closing():
                    # As an engine does, it drops a request whose connection has closed.
                    return web.Response(status=500, headers=head)
                self.failed_at.append(self.record.now())
                self.record.write(f"answer 500 at {self.id}: id {item}")
                return web.Response(status=500, headers=head)
            if not self.models:
                await asyncio.sleep(self.event_s)
                return web.Response(status=200, body=request.raw_path.encode(), headers=head)
            response = web.StreamResponse(
                headers={
                    **head,
                    "Weight-Versions": str(version),
                    "Content-Type": "text/event-stream",
                }
            )
            await response.prepare(request)
            for number in range(int(request.headers.get("Last-Event-Id", 0)) + 1, self.events + 1):
                await asyncio.sleep(self.event_s)
                await response.write(
                    f"id: {number}\ndata: {self.text_of(item, number)}\n\n".encode()
                )
                run[3] = number
            await response.write_eof()
            return response
        except ConnectionError:
            # The caller has closed the connection.
            return response
        finally:
            self.running -= 1
            run[1] = round(self.record.now(), 3)
            self.record.write(
                f"run ends at {self.id}: id {item}, events to {run[3]} of {self.events}"
            )


class Stage:
    """The daemons, the stand-ins, and the calls of the operator and of callers."""

    def __init__(self, record: Record, stores: int = 3, entries: int = 2) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.network = random.randint(10, 250)
        self.ports = free_ports(6)
        names = [f"core-{ZONES[n % 3]}-{n // 3 + 1}" for n in range(3)]
        names += [f"store-{ZONES[n % 3]}-{n // 3 + 1}" for n in range(stores)]
        names += [f"edge-{ZONES[n % 3]}-{n // 3 + 1}" for n in range(entries)]
        self.names = names
        self.ip = {}
        count: dict[str, int] = {}
        for name in names:
            kind = name.partition("-")[0]
            count[kind] = count.get(kind, 0) + 1
            net = {"core": 1, "store": 2, "edge": 3}[kind]
            self.ip[name] = f"127.{self.network}.{net}.{count[kind]}"
        self.seeds = [f"{self.ip[n]}:{self.ports[0]}" for n in names if n.startswith("core")]
        self.processes: dict[str, subprocess.Popen] = {}
        self.engines: list[Engine] = []
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]

    def start_daemon(self, name: str, bootstrap: bool) -> None:
        """Write a daemon's settings file and start it by the command of its role."""
        kind, zone = name.split("-")[0], name.split("-")[1]
        role = {"core": "control", "store": "store", "edge": "entry"}[kind]
        served = {"core": "control_plane", "store": "storage", "edge": "edge"}[kind]
        ip = self.ip[name]
        folder = self.folder / name
        (folder / "data").mkdir(parents=True, exist_ok=True)
        listen = {
            "core": {"control": f"{ip}:{self.ports[0]}"},
            "store": {},
            "edge": {"frontend": f"{ip}:{self.ports[1]}", "readiness": f"{ip}:{self.ports[2]}"},
        }[kind]
        limits = {
            "core": (0.86, 3, 296, 4096, 1000.0, 128),
            "store": (0.717, 3, 170, 8200, 600.0, 500),
            "edge": (0.537, 2, 150, 4100, 1000.0, 0),
        }[kind]
        fields = ("cpu_share", "cores", "memory_mb", "max_fds", "link_mbps", "disk_mb")
        settings = {
            "node": name,
            "role": role,
            "machine_class": kind,
            "serves": [served],
            "ip": ip,
            "zone": zone,
            "region": "slovenija",
            "zones": dict.fromkeys(ZONES, "slovenija"),
            "listen": listen,
            "internal_ports": [self.ports[3], self.ports[3] + 15],
            "seeds": self.seeds,
            "bootstrap": bootstrap,
            "fault_counted": kind != "edge",
            "limits": dict(zip(fields, limits, strict=True)),
            "data_dir": None if kind == "edge" else str(folder / "data"),
            "discovery": "registration",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "recover",
                "samples",
                "stream",
                "engine",
                "batch",
                "tenants",
                "leader",
            ],
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {
                "seed_lag_s": 3,
                "reuse_after_s": 2,
                "contact_ms": 3000,
                "ack_ms": 4000,
                "catch_up_s": 4.8,
                "drain_ms": 2000,
                "grace_s": 8,
                "config_apply_ms": 2000,
                "lease_ms": 3000,
                "thaw_ms": 300,
                "usage_window_s": 5,
                "usage_late_s": 10,
                "finish_s": 10,
                "status_ttl_s": 120,
                "cancel_ms": 3000,
                "settle_ms": 1000,
            },
            "config_mode": "highest",
            "cloud_api": None,
        }
        path = folder / "boot.json"
        path.write_text(json.dumps(settings))
        terms = self.deploy[role]
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target/deps"),
            "IBISSPRING_CONFIG": str(path),
            **terms.get("env", {}),
        }
        log = (self.folder / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            terms["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        self.record.write(f"start {name}")

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a daemon."""
        self.record.write(f"signal {signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)
        if number == signal.SIGKILL:
            self.processes[name].wait()

    async def add_engine(self, service: str, **terms: Any) -> Engine:
        """Start an engine."""
        number = len(self.engines) + 1
        ip = f"127.{self.network}.4.{number}"
        engine = Engine(
            self.record, number, ip, self.ports[4], self.seeds, service=service, **terms
        )
        await engine.start()
        self.engines.append(engine)
        return engine

    def log_of(self, name: str) -> str:
        """Return what a daemon has written."""
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def leader(self, log: str) -> str:
        """Return the daemon that was the last to say that it leads a log (`directory`, `jobs`)."""
        found = []
        for name in self.names:
            for line in self.log_of(name).splitlines():
                if f'"{log}:leads"' in line:
                    found.append((json.loads(line)["term"], name))
        return max(found)[1] if found else ""

    async def control(self, method: str, path: str, body: Any = None) -> tuple[int, bytes]:
        """Make an operator's call: the next daemon after a failure, with a growing pause."""
        data = json.dumps(body).encode() if body is not None else b""
        for attempt in range(24):
            seed = self.seeds[attempt % len(self.seeds)]
            status, answer = await http(method, f"http://{seed}{path}", data, {}, 2.0)
            if 200 <= status < 500:
                self.record.write(f"operator {method} {path} at {seed}: {status}")
                return status, answer
            await asyncio.sleep(min(1.0, 0.1 * (attempt + 1)))
        raise NotRunError(f"no answer to {method} {path}")

    async def call(
        self,
        entry: int,
        method: str,
        path: str,
        attempt: str,
        body: bytes = b"",
        deadline_ms: int = 2000,
        headers: dict | None = None,
    ) -> tuple[int, bytes]:
        """Make a caller's call at one entry; status 0 for no complete answer."""
        name = [n for n in self.names if n.startswith("edge")][entry]
        sent = {
            "Host": HOST,
            "Attempt-Id": attempt,
            "Deadline-Ms": str(deadline_ms),
            "Authorization": f"Bearer {KEY}",
            "Content-Type": "application/json",
            **(headers or {}),
        }
        url = f"http://{self.ip[name]}:{self.ports[1]}{path}"
        status, answer = await http(method, url, body, sent, deadline_ms / 1000)
        self.record.write(
            f"caller {method} {path} id {attempt}, {len(body)} bytes, at {name}:"
            f" {status} {answer[:100]!r}"
        )
        return status, answer

    async def submit(
        self, job: str, body: dict, entries: tuple[int, ...] = (0, 1), deadline_ms: int = 4000
    ) -> int:
        """Submit a batch job, again at another entry if it is not accepted; return the status."""
        status = 0
        data = json.dumps(body).encode()
        for entry in entries:
            status, _ = await self.call(entry, "POST", SCORE + job, job, data, deadline_ms)
            if status == 202:
                return status
        return status

    async def results(self, job: str, entry: int = 0) -> tuple[int, list[dict], int]:
        """Read all results of a batch job; return the status, the results and their total."""
        found: list[dict] = []
        while True:
            path = f"/v1/lots/{job}?after={len(found)}"
            status, answer = await self.call(
                entry, "GET", path, f"r{random.getrandbits(40):x}", deadline_ms=2500
            )
            if status != 200:
                return status, found, -1
            read = json.loads(answer)
            if not read["results"]:
                return status, found, read["total"]
            found += read["results"]

    async def up(self, **changes: Any) -> None:
        """Start all daemons, put the configuration, and wait until entries serve lookups."""
        for name in self.names:
            self.start_daemon(name, bootstrap=True)
        plain = await self.add_engine("wuno96b", model=False, slots=6)
        status, _ = await self.control("POST", "/v1/Config.Replace", configuration(1, **changes))
        if status != 200:
            raise NotRunError("the first configuration was refused")
        entries = [n for n in self.names if n.startswith("edge")]
        for entry in range(len(entries)):
            await until(lambda entry=entry: self._serves(entry), 30.0, f"{entries[entry]} to serve")
        self.record.write(f"serving; plain engine {plain.id}")

    async def _serves(self, entry: int) -> bool:
        status, _ = await self.call(entry, "POST", f"{LOOKUP}w", f"w{random.getrandbits(40):x}")
        return status == 200

    async def down(self) -> None:
        """End all daemons and stand-ins, and remove the folder."""
        for name, process in self.processes.items():
            if process.poll() is not None:
                self.record.write(f"{name} had ended with {process.returncode}")
            process.kill()
            process.wait()
        await asyncio.gather(*(engine.stop() for engine in self.engines), return_exceptions=True)
        if os.environ.get("KEEP"):
            print(self.folder)
            return
        shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version: int, **changes: Any) -> dict:
    """Return an operator's configuration, as on the page PROTOCOL."""
    rollout = {
        "item_ttl_s": 40.0,
        "deadline_ms": 7500,
        "timeout_ms": 10000,
        "max_attempts": 3,
        **changes.pop("rollout", {}),
    }
    return {
        "version": version,
        "routes": [
            {
                "name": "r-35ieisp",
                "host": HOST,
                "path_prefix": LOOKUP,
                "type": "idempotent",
                "timeout_ms": 2000,
                "latency_target_ms": 191,
                "priority": 2,
                "service": "wuno96b",
                "max_attempts": 2,
                "public": False,
            },
            {
                "name": "r-uxsr7i4",
                "host": HOST,
                "path_prefix": SCORE,
                "type": "rollout",
                "latency_target_ms": 400,
                "priority": 1,
                "service": "huvo11a",
                "single_version": False,
                "public": False,
                "sticky": True,
                "resumable": True,
                **rollout,
            },
        ],
        "services": [
            {
                "name": "huvo11a",
                "health_path": "/healthz",
                "max_conns": 160,
                "protocol": "h1",
                "tls": False,
                "engine": {"slots": 12, "kv_capacity": 290000, "models": [{"name": MODEL}]},
            },
            {
                "name": "wuno96b",
                "health_path": "/healthz",
                "max_conns": 110,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": MAX_BODY_BYTES,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
        **changes,
    }


def batch_job(prefix: str, groups: int, size: int, body: bytes = b"x" * 600) -> dict:
    """Return a batch job of a trainer's step."""
    return {
        "step": 0,
        "model": MODEL,
        "min_version": 1,
        "target_groups": groups,
        "items": [
            {
                "id": f"{prefix}{group:02d}{item:02d}",
                "path": f"{SCORE}3/{prefix}{group}{item}",
                "headers": {
                    "Model": MODEL,
                    "Token-Usage": "271,64",
                    "Prompt-Prefix": f"9c2e{group:02x}:255,5d{group:02x}{item:02x}:16",
                },
                "body": base64.b64encode(body).decode(),
                "tokens": 335,
                "group": f"{prefix}g{group}",
            }
            for group in range(groups)
            for item in range(size)
        ],
    }


async def http(
    method: str, url: str, data: bytes, headers: dict, timeout_s: float
) -> tuple[int, bytes]:
    """Make an HTTP call on a new connection; status 0 if no complete answer came in time."""
    try:
        async with (
            aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=timeout_s)) as session,
            session.request(method, url, data=data or None, headers=headers) as answer,
        ):
            return answer.status, await answer.read()
    except (aiohttp.ClientError, TimeoutError, OSError):
        return 0, b""


async def until(condition: Callable[[], Any | Awaitable[Any]], limit_s: float, what: str) -> Any:
    """Wait until a condition is true; raise `NotRunError` after `limit_s` seconds."""
    end = time.monotonic() + limit_s
    while True:
        value = condition()
        if asyncio.iscoroutine(value):
            value = await value
        if value:
            return value
        if time.monotonic() > end:
            raise NotRunError(f"waited {limit_s} s for {what}")
        await asyncio.sleep(0.1)


def free_ports(count: int) -> list[int]:
    """Return the first ports of `count` free ranges of 16 ports below the ephemeral ones."""
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(11_000, 30_000, 16)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in found:
            found.append(port)
    return found


def play(folder: Path, case: Callable[[Record, bool], Awaitable[int]]) -> int:
    """Run a case; return 1 if the rule was broken, 0 if it held, 2 if it could not be run."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble: {trouble}")
    try:
        code = asyncio.run(_play_within(case(record, trouble), LIMIT_S))
    except (NotRunError, TimeoutError, asyncio.CancelledError) as error:
        record.write(f"not run: {error!r}")
        code = NOT_RUN
    record.write({HELD: "held", BROKEN: "BROKEN", NOT_RUN: "could not run"}[code])
    return code


async def _play_within(case: Awaitable[int], limit_s: float) -> int:
    """Run a case for a time; SIGTERM ends it, with the processes that it started."""
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await asyncio.wait_for(case, limit_s)
