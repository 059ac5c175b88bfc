"""Starts real processes for a test and ends them by id."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import aiohttp

START_S = 60.0
# Below the range that outgoing connections draw from, so that none of them takes a listener's port.
FIRST_PORT = 12_000
WORKERS = 8
PORTS_OF_WORKER = 2_400
_handed_out: set[int] = set()
REPOSITORY = Path(__file__).resolve().parents[2]


def _own_ports() -> range:
    """A range of this test worker alone, so that parallel workers never race for a port."""
    worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
    start = FIRST_PORT + worker % WORKERS * PORTS_OF_WORKER
    return range(start, start + PORTS_OF_WORKER)


def free_port() -> int:
    """A TCP port that is free now and was not handed out before in this process."""
    candidates = [port for port in _own_ports() if port not in _handed_out]
    random.shuffle(candidates)
    for port in candidates:
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            _handed_out.add(port)
            return port
    raise RuntimeError("no free port")


def free_address() -> str:
    """A free loopback address as IP:port."""
    return f"127.0.0.1:{free_port()}"


class Process:
    """One child process of a test."""

    def __init__(self, name: str, arguments: list[str], log: Path) -> None:
        self.name = name
        self.arguments = arguments
        self.log = log
        self.popen: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        environment = {**os.environ, "PYTHONPATH": f"{REPOSITORY / 'tests'}:{REPOSITORY}"}
        with self.log.open("ab") as output:
            self.popen = subprocess.Popen(
                self.arguments, stdout=output, stderr=output, env=environment, cwd=REPOSITORY
            )

    def send(self, signal_number: int) -> None:
        self.popen.send_signal(signal_number)

    def kill(self) -> None:
        """kill -9, also of a frozen process."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.kill()
            self.popen.wait()

    def freeze(self) -> None:
        self.send(signal.SIGSTOP)

    def thaw(self) -> None:
        self.send(signal.SIGCONT)

    async def terminate(self, bound_s: float = 60.0) -> int:
        """SIGTERM and wait; returns the exit code."""
        self.send(signal.SIGTERM)
        await wait_until(lambda: self.popen.poll() is not None, f"{self.name} to stop", bound_s)
        return self.popen.returncode

    def alive(self) -> bool:
        return self.popen is not None and self.popen.poll() is None

    def tail(self) -> str:
        return self.log.read_text(errors="replace")[-4000:] if self.log.exists() else ""


async def wait_until(
    condition: Callable[[], Any] | Callable[[], Awaitable[Any]], what: str, bound_s: float = START_S
) -> Any:
    """Wait for a state, not for a time; fails after a generous bound."""
    end = time.monotonic() + bound_s
    while True:
        value = condition()
        if asyncio.iscoroutine(value):
            value = await value
        if value:
            return value
        if time.monotonic() > end:
            raise AssertionError(f"waited {bound_s} s in vain for {what}")
        await asyncio.sleep(0.05)


async def http_answers(url: str) -> bool:
    """Whether an HTTP server answers 200 there."""
    try:
        async with (
            aiohttp.ClientSession() as session,
            session.get(url, timeout=aiohttp.ClientTimeout(total=2)) as response,
        ):
            return response.status == 200
    except (aiohttp.ClientError, TimeoutError):
        return False


async def get_json(url: str) -> Any:
    """GET a fake's record."""
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        return json.loads(await response.read())


def python_module(module: str, *arguments: str) -> list[str]:
    """Command line of a module under the tests' own interpreter."""
    return [sys.executable, "-m", module, *arguments]


def command_line(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run the operators' command line and return what it printed."""
    binary = Path(sys.executable).parent / "ibisspring"
    return subprocess.run(
        [str(binary), *arguments], capture_output=True, text=True, timeout=120, check=False
    )
