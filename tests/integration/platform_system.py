"""Starts a system on loopback addresses as the users' platform does, from its settings files."""

from __future__ import annotations

import asyncio
import base64
import json
import os
import shutil
import sys
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
import grpc.aio

from fakes.platform_engine import PlatformEngine
from fakes.proxied_daemon import listen_address
from ibisspring_core.pb import consensus_pb2, consensus_pb2_grpc
from integration.processes import REPOSITORY, Process, free_port, wait_until
from integration.proxy import FaultProxy

DATA_CENTRES = ("derby", "stoke", "walsall")
REGION_BY_DATA_CENTRE = {"derby": "midlands", "stoke": "midlands", "walsall": "west"}
NETWORK_BY_ROLE = {"control": 1, "store": 2, "entry": 3, "engine": 4}
SERVED_BY_ROLE = {"control": "control_plane", "store": "storage", "entry": "edge"}
HOST = "archive.example"
KEY = "k1"
LOOKUP = "/lookup/"
SCORE = "/score/"
CONNECT_FAILED = -1
NO_ANSWER = 0
STATUS_PROGRAM = "from ibisspring_cli.main import main; main()"


def configuration(version: int, **changes: Any) -> dict:
    """Return an operator's configuration with a route for lookups and a route for batch jobs."""
    routes = [
        {
            "name": "lookup",
            "host": HOST,
            "path_prefix": LOOKUP,
            "type": "idempotent",
            "timeout_ms": 3000,
            "latency_target_ms": 400,
            "service": "archive",
            "max_attempts": 2,
            "public": False,
        },
        {
            "name": "score",
            "host": HOST,
            "path_prefix": SCORE,
            "type": "rollout",
            "timeout_ms": 10000,
            "latency_target_ms": 400,
            "service": "scorer",
            "max_attempts": 3,
            "item_ttl_s": 60.0,
            "deadline_ms": 30000,
            "public": False,
        },
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "archive", "max_conns": 100},
            {"name": "scorer", "max_conns": 100, "engine": {"slots": 4, "kv_capacity": 90000}},
        ],
        "tenants": [{"name": "forge", "api_keys": [KEY]}],
        **changes,
    }


def job(items: int, min_version: int = 1, prefix: str = "i", scored: bool = False) -> dict:
    """Return a batch job in groups of two; `scored` adds a reward call by the lookup route."""
    return {
        "step": 0,
        "model": "m",
        "min_version": min_version,
        "target_groups": items // 2,
        "items": [
            {
                "id": f"{prefix}{number}",
                "path": f"{SCORE}run/{number}",
                "headers": {"Model": "m", "Token-Usage": "100,800"},
                "body": base64.b64encode(f"body {number}".encode()).decode(),
                "tokens": 900,
                "group": f"g{number // 2}",
                **({"scorer": scorer(f"{prefix}{number}")} if scored else {}),
            }
            for number in range(items)
        ],
    }


def scorer(item: str) -> dict:
    """Return the reward call of an item."""
    body = base64.b64encode(f"note of {item}".encode()).decode()
    return {"id": f"r-{item}", "host": HOST, "path": f"{LOOKUP}{item}", "body": body}


@dataclass
class PlatformSystem:
    """
    The daemons by name, and the engines.

    :param usage_to: IP:port that receives usage reports; empty for none.
    :param boot_by_name: contents of the daemons' settings files.
    :param proxied: whether the calls between daemons pass through proxies.
    :param proxy_by_name: the proxies of a proxied system, by the daemon that is called.
    """

    folder: Path
    usage_to: str = ""
    process_by_name: dict[str, Process] = field(default_factory=dict)
    boot_by_name: dict[str, dict] = field(default_factory=dict)
    engines: list[PlatformEngine] = field(default_factory=list)
    proxied: bool = False
    proxy_by_name: dict[str, FaultProxy] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.ports = {name: free_port() for name in ("peer", "control", "callers", "ready")}
        self.seeds = [f"127.1.1.{n}:{self.ports['control']}" for n in (1, 2, 3)]
        # Engines get ports of their own, as all processes share the machine's loopback addresses.
        self.engine_ports = iter([free_port() for _ in range(32)])

    def add(self, role: str, number: int, bootstrap: bool = True) -> Process:
        """
        Write a daemon's settings file and create its process without starting it.

        :param bootstrap: whether the daemon may bootstrap its cluster.
        """
        name = f"{role}-{number}"
        ip = f"127.1.{NETWORK_BY_ROLE[role]}.{number}"
        listen = {
            "control": {"control": f"{ip}:{self.ports['control']}"},
            "store": {},
            "entry": {
                "frontend": f"{ip}:{self.ports['callers']}",
                "readiness": f"{ip}:{self.ports['ready']}",
            },
        }[role]
        data = self.folder / name / "data"
        if role != "entry":
            data.mkdir(parents=True, exist_ok=True)
        (self.folder / name).mkdir(exist_ok=True)
        self.boot_by_name[name] = {
            "node": name,
            "role": role,
            "serves": [SERVED_BY_ROLE[role]],
            "ip": ip,
            "zone": DATA_CENTRES[number % len(DATA_CENTRES)],
            "zones": REGION_BY_DATA_CENTRE,
            "listen": listen,
            "internal_ports": [self.ports["peer"], self.ports["peer"]],
            "seeds": self.seeds,
            "bootstrap": bootstrap,
            "data_dir": None if role == "entry" else str(data),
            "heartbeat_ms": 300,
            "fault_tolerance": {"machines": 1},
            "bounds": {"lease_ms": 1000, "thaw_ms": 100, "usage_window_s": 2},
            "cloud_api": (
                {"address": self.usage_to, "duties": ["metering"]} if self.usage_to else None
            ),
        }
        # `env` sets the variable and then executes the daemon, so that signals reach the daemon.
        variable = f"IBISSPRING_CONFIG={self.folder / name / 'boot.json'}"
        start = str(REPOSITORY / "platform" / "start.py")
        if self.proxied:
            start = str(REPOSITORY / "tests" / "fakes" / "proxied_daemon.py")
        arguments = ["/usr/bin/env", variable, sys.executable, "-OO", start, role]
        process = Process(name, arguments, self.folder / f"{name}.log")
        self.process_by_name[name] = process
        self.write_boot(name)
        return process

    def write_boot(self, name: str, **changes: Any) -> None:
        """Apply changes to a daemon's settings and write the settings file."""
        self.boot_by_name[name].update(changes)
        path = self.folder / name / "boot.json"
        path.write_text(json.dumps(self.boot_by_name[name]))

    def start(self) -> None:
        """Start all daemons at once."""
        for process in self.process_by_name.values():
            process.start()

    def peer_address(self, name: str) -> str:
        """Return the address at which other daemons call a daemon."""
        offset = 1 if name.startswith("store") else 0
        return f"{self.boot_by_name[name]['ip']}:{self.ports['peer'] + offset}"

    async def add_proxies(self) -> None:
        """Start the proxies of a proxied system."""
        for name in self.process_by_name:
            await self.add_proxy(name)

    async def add_proxy(self, name: str) -> None:
        """Start the proxy of one daemon of a proxied system."""
        address = self.peer_address(name)
        proxy = await FaultProxy.in_front_of(listen_address(address), address)
        self.proxy_by_name[name] = proxy

    def restart(self, name: str, wipe: bool = False) -> None:
        """
        Start a daemon that ended, without permission to bootstrap its cluster again.

        :param wipe: whether its data directory is emptied first.
        """
        if wipe:
            data = Path(self.boot_by_name[name]["data_dir"])
            shutil.rmtree(data)
            data.mkdir()
        self.write_boot(name, bootstrap=False)
        self.process_by_name[name].start()

    def stop(self) -> None:
        """Kill all daemons."""
        for process in self.process_by_name.values():
            process.kill()

    async def add_engine(self, service: str, **fields: Any) -> PlatformEngine:
        """Start an engine of a service; `fields` are those of `PlatformEngine`."""
        number = len(self.engines) + 1
        address = f"127.1.{NETWORK_BY_ROLE['engine']}.{number}:{next(self.engine_ports)}"
        engine = PlatformEngine(f"i-{number}", service, address, self.seeds, **fields)
        await engine.start()
        self.engines.append(engine)
        return engine

    def peer_seeds(self) -> list[str]:
        """Return the peer addresses of the control daemons."""
        network = NETWORK_BY_ROLE["control"]
        return [f"127.1.{network}.{number}:{self.ports['peer']}" for number in (1, 2, 3)]

    async def running_by_entry(self) -> dict[int, int]:
        """
        Return the number of running items by entry, as the jobs' leader reports it.

        The result is empty if no control daemon or no jobs' leader answers.
        """
        code, output = await status(self.peer_seeds(), "--json")
        jobs = json.loads(output)["jobs"] if code == 0 else None
        runners = jobs["runners"] if jobs is not None else []
        # The last number of an entry's IP address is the entry's number.
        return {
            int(one["address"].partition(":")[0].rpartition(".")[2]): one["running"]
            for one in runners
        }

    async def replica_status(self, name: str) -> dict | None:
        """Return the status that a daemon's replica reports, or None if the call fails."""
        async with grpc.aio.insecure_channel(self.peer_address(name)) as channel:
            stub = consensus_pb2_grpc.ConsensusStub(channel)
            try:
                reply = await stub.Manage(consensus_pb2.ManageRequest(action="status"), timeout=2.0)
            except grpc.aio.AioRpcError:
                return None
        return json.loads(reply.answer)

    def leaders(self, log: str) -> list[str]:
        """Return the daemons that logged `directory:leads` or `jobs:leads`, by ascending term."""
        found = []
        for name, process in self.process_by_name.items():
            for line in process.log.read_text(errors="replace").splitlines():
                if f'"{log}:leads"' in line:
                    found.append((json.loads(line)["term"], name))
        return [name for _, name in sorted(found)]

    def entry_url(self, number: int) -> str:
        """Return the base URL at which an entry serves callers."""
        return f"http://127.1.{NETWORK_BY_ROLE['entry']}.{number}:{self.ports['callers']}"

    async def control(self, method: str, path: str, body: Any = None) -> tuple[int, bytes]:
        """Repeat an operator's call until a control daemon answers with a status below 500."""
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        answer: tuple[int, bytes] = (0, b"")

        async def answered() -> bool:
            nonlocal answer
            for seed in self.seeds:
                answer = await request(method, f"http://{seed}{path}", data)
                if 0 < answer[0] < 500:
                    return True
            return False

        await wait_until(answered, f"an answer below 500 to {method} {path}")
        return answer

    async def put(self, version: int, **changes: Any) -> int:
        """Replace the configuration and return the HTTP status."""
        status, _ = await self.control(
            "POST", "/v1/Config.Replace", configuration(version, **changes)
        )
        return status

    async def submit(self, name: str, body: dict, entry: int = 1) -> None:
        """Submit a job until it is accepted."""

        async def accepted() -> bool:
            status, _ = await self.call("POST", f"{SCORE}{name}", name, body, entry)
            return status == 202

        await wait_until(accepted, f"job {name} to be accepted")

    async def call(
        self, method: str, path: str, attempt: str, body: Any = None, entry: int = 1, key: str = KEY
    ) -> tuple[int, bytes]:
        """Make a caller's call and return its HTTP status and body."""
        data = json.dumps(body).encode() if body is not None else b""
        return await request(method, self.entry_url(entry) + path, data, headers_of(attempt, key))

    async def results(self, name: str, entry: int = 1) -> dict | None:
        """Read all results of a job; None if the entry does not answer 200."""
        status, body = await self.call("GET", f"/v1/lots/{name}?after=0", "x", None, entry)
        return json.loads(body) if status == 200 else None

    async def wait_all_results(self, name: str, total: int, entry: int = 1) -> dict:
        """Wait until `total` results of a job are listed, and return them."""

        async def listed() -> dict | None:
            read = await self.results(name, entry)
            return read if read is not None and len(read["results"]) == total else None

        return await wait_until(listed, f"{total} results of {name}")


async def status(seeds: list[str], *options: str) -> tuple[int, str]:
    """Run `ibisspring status --seeds` and return its exit code and output."""
    arguments = [
        "-c",
        STATUS_PROGRAM,
        "--timeout",
        "5",
        "status",
        "--seeds",
        ",".join(seeds),
        *options,
    ]
    child = await asyncio.create_subprocess_exec(
        sys.executable, *arguments, stdout=asyncio.subprocess.PIPE
    )
    output, _ = await child.communicate()
    return child.returncode, output.decode()


def headers_of(attempt: str, key: str = KEY) -> dict[str, str]:
    """Return the headers of a caller's call."""
    return {
        "Host": HOST,
        "Attempt-Id": attempt,
        "Deadline-Ms": "3000",
        "Authorization": f"Bearer {key}",
    }


async def request(
    method: str, url: str, data: bytes, headers: dict[str, str] | None = None
) -> tuple[int, bytes]:
    """
    Make an HTTP call and return its status and body.

    The status is `CONNECT_FAILED` if the connection failed, so that nothing was sent, and
    `NO_ANSWER` if the call failed after that or timed out.
    """
    timeout = aiohttp.ClientTimeout(total=5.0)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(method, url, data=data, headers=headers) as answer,
        ):
            return answer.status, await answer.read()
    except aiohttp.ClientConnectorError:
        return CONNECT_FAILED, b""
    except (aiohttp.ClientError, TimeoutError, OSError):
        return NO_ANSWER, b""


@asynccontextmanager
async def platform_system(
    folder: Path,
    entries: int = 2,
    usage_to: str = "",
    proxied: bool = False,
    limits_by_name: dict[str, dict] | None = None,
):
    """
    Start three control daemons, three stores, entries, an archive endpoint and two engines.

    :param usage_to: IP:port that receives usage reports; empty for none.
    :param proxied: whether the calls between daemons pass through proxies.
    :param limits_by_name: limits of daemons' processes, by name of the daemon.
    """
    system = PlatformSystem(folder, usage_to, proxied=proxied)
    for number in (1, 2, 3):
        system.add("control", number)
        system.add("store", number)
    for number in range(1, entries + 1):
        system.add("entry", number)
    for name, limits in (limits_by_name or {}).items():
        system.write_boot(name, limits=limits)
    try:
        if proxied:
            await system.add_proxies()
        system.start()
        await system.add_engine("archive")
        await system.add_engine("scorer", models={"m": 1})
        await system.add_engine("scorer", models={"m": 1})
        assert await system.put(1) == 200
        await wait_served(system, entries)
        yield system
    except AssertionError:
        for name, process in system.process_by_name.items():
            print(f"--- {name}\n{process.tail()}")
        raise
    finally:
        system.stop()
        await asyncio.gather(*(engine.stop() for engine in system.engines))
        await asyncio.gather(*(proxy.stop() for proxy in system.proxy_by_name.values()))


async def wait_served(system: PlatformSystem, entries: int) -> None:
    """Wait until each entry answers a lookup with 200."""
    for entry in range(1, entries + 1):

        async def served(entry: int = entry) -> bool:
            status, _ = await system.call(
                "POST", f"{LOOKUP}warm", f"w{os.urandom(4).hex()}", None, entry
            )
            return status == 200

        await wait_until(served, f"entry {entry} to serve lookups")
