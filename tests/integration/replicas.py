"""A cluster of test replicas (`fakes.replica`), optionally with a fault proxy on each path."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import aiohttp
import yaml

from integration.cluster import Cluster
from integration.processes import (
    Process,
    command_line,
    free_address,
    python_module,
    wait_until,
)
from integration.proxy import FaultProxy

REQUEST_TIMEOUT_S = 10.0


class Replicas:
    """The processes, HTTP addresses and proxies of the replicas by daemon id."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.module = "fakes.replica"
        self.http_by_daemon = {daemon: free_address() for daemon in cluster.settings_by_daemon}
        self.listen_by_daemon = {
            daemon: settings["control"]["listen"]
            for daemon, settings in cluster.settings_by_daemon.items()
        }
        self.proxy_by_path: dict[tuple[str, str], FaultProxy] = {}

    @classmethod
    def from_count(cls, folder: Path, count: int, **control: Any) -> Replicas:
        """Create the settings of replicas `c1`, `c2` and so on without starting them."""
        return cls(Cluster.from_counts(folder, count, 0, **control))

    async def add_proxies(self) -> None:
        """Start a proxy on each path from one replica to another and put it into the settings."""
        for source, settings in self.cluster.settings_by_daemon.items():
            for target, address in self.listen_by_daemon.items():
                if target == source:
                    continue
                proxy = await FaultProxy.in_front_of(address)
                self.proxy_by_path[(source, target)] = proxy
                settings["control_addresses"][target] = proxy.address

    def paths_of(self, daemon: str, inward: bool, outward: bool) -> tuple[FaultProxy, ...]:
        """Return the proxies on the paths to a replica, from it, or both."""
        return tuple(
            proxy
            for (source, target), proxy in self.proxy_by_path.items()
            if (inward and target == daemon) or (outward and source == daemon)
        )

    def start(self, daemon: str) -> Process:
        """Write a replica's settings file and start its process."""
        path = self.cluster.settings_path(daemon)
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(yaml.safe_dump(self.cluster.settings_by_daemon[daemon]))
        listen = self.http_by_daemon[daemon]
        arguments = python_module(self.module, "--settings", str(path), "--listen", listen)
        return self.cluster.start_other(daemon, arguments)

    async def start_all(self) -> None:
        for daemon in self.http_by_daemon:
            self.start(daemon)
        for daemon in self.http_by_daemon:
            await self.wait_answers(daemon)

    async def wait_answers(self, daemon: str) -> None:
        await wait_until(lambda: self.local_state(daemon), f"{daemon} to answer")

    async def control(self, *arguments: str) -> Any:
        """Run `ibisspring control` in a thread, so that this process's proxies keep running."""
        addresses = ",".join(self.listen_by_daemon.values())
        command = ("control", "--control", addresses, *arguments)
        return await asyncio.to_thread(command_line, *command)

    def process(self, daemon: str) -> Process:
        return self.cluster.process_by_name[daemon]

    async def bootstrap(self) -> None:
        """Start all replicas, bootstrap them and wait for a leader."""
        await self.start_all()
        result = await self.control("bootstrap")
        assert result.returncode == 0, result.stderr
        await self.leader()

    async def _http(self, daemon: str, method: str, path: str, data: bytes | None = None) -> Any:
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        url = f"http://{self.http_by_daemon[daemon]}{path}"
        try:
            async with aiohttp.ClientSession(timeout=timeout) as session:
                async with session.request(method, url, data=data) as response:
                    return await response.json()
        except (aiohttp.ClientError, TimeoutError):
            return None

    async def local_state(self, daemon: str) -> Any:
        """Return a replica's own state without a confirmed read, or None if it does not answer."""
        return await self._http(daemon, "GET", "/local")

    async def leader(self, other_than: str = "") -> str:
        """Wait for a leader other than `other_than` that holds its lease; return its daemon id."""

        async def find_leader() -> str:
            for daemon, process in self.cluster.process_by_name.items():
                if daemon == other_than or not process.alive():
                    continue
                local = await self.local_state(daemon)
                if local and local["is_leader"] and local["lease_left_s"] > 0:
                    return daemon
            return ""

        return await wait_until(find_leader, "a leader")

    async def propose(self, daemon: str, line: str) -> Any:
        """Propose a line once and return the answer, or None if there is none."""
        return await self._http(daemon, "POST", "/propose", line.encode())

    async def accept(self, line: str, other_than: str = "") -> int:
        """
        Propose a line to the leader until it is accepted, and return its index.

        The log may contain the line twice, if an earlier proposal was committed but not answered.
        """

        async def accepted() -> int:
            answer = await self.propose(await self.leader(other_than), line)
            return answer["index"] if answer and "index" in answer else 0

        return await wait_until(accepted, f"{line!r} to be accepted")

    async def read(self, daemon: str) -> Any:
        """Return the answer to a confirmed read, or None if there is none."""
        return await self._http(daemon, "GET", "/read")

    async def wait_lines(self, daemon: str, lines: list[str]) -> None:
        """Wait until a replica has applied all given lines."""

        async def applied() -> bool:
            local = await self.local_state(daemon)
            return local is not None and set(lines) <= set(local["lines"])

        await wait_until(applied, f"{daemon} to apply {len(lines)} lines")

    def stop_all(self) -> None:
        self.cluster.stop_all()
