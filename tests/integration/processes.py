"""Starts processes for a test, signals them and ends them by process id."""

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

DEFAULT_WAIT_LIMIT_S = 60.0
# Below the ephemeral port range, so that no outgoing connection takes the port of a listener.
FIRST_PORT = 12_000
MAX_WORKERS = 8
PORTS_PER_WORKER = 2_400
_allocated_ports: set[int] = set()
REPOSITORY = Path(__file__).resolve().parents[2]


def _own_ports() -> range:
    """Return this test worker's own port range, so that parallel workers never race for a port."""
    worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
    start = FIRST_PORT + worker % MAX_WORKERS * PORTS_PER_WORKER
    return range(start, start + PORTS_PER_WORKER)


def free_port() -> int:
    """Return a TCP port that is free now and was not returned before in this process."""
    candidates = [port for port in _own_ports() if port not in _allocated_ports]
    random.shuffle(candidates)
    for port in candidates:
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            _allocated_ports.add(port)
            return port
    raise RuntimeError("no free port in the range of this test worker")


def free_address() -> str:
    """Return a loopback address with a free port, as IP:port."""
    return f"127.0.0.1:{free_port()}"


class Process:
    """A child process of a test, whose output is appended to `log`."""

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
        """Send SIGKILL (kill -9), which ends even a frozen process, and wait for the end."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.kill()
            self.popen.wait()

    def freeze(self) -> None:
        self.send(signal.SIGSTOP)

    def thaw(self) -> None:
        self.send(signal.SIGCONT)

    async def terminate(self, bound_s: float = 60.0) -> int:
        """Send SIGTERM, wait up to `bound_s` for the process to end and return its exit code."""
        self.send(signal.SIGTERM)
        await wait_until(lambda: self.popen.poll() is not None, f"{self.name} to stop", bound_s)
        return self.popen.returncode

    def alive(self) -> bool:
        return self.popen is not None and self.popen.poll() is None

    def tail(self) -> str:
        return self.log.read_text(errors="replace")[-4000:] if self.log.exists() else ""


async def wait_until(
    condition: Callable[[], Any] | Callable[[], Awaitable[Any]],
    description: str,
    bound_s: float = DEFAULT_WAIT_LIMIT_S,
) -> Any:
    """
    Poll a condition until its value is true, and return the value.

    :param description: what the condition waits for, for the error message.
    :param bound_s: longest wait in seconds, far longer than the state takes on a busy machine.
    :raises AssertionError: if the condition is still false after `bound_s`.
    """
    deadline = time.monotonic() + bound_s
    while True:
        value = condition()
        if asyncio.iscoroutine(value):
            value = await value
        if value:
            return value
        if time.monotonic() > deadline:
            raise AssertionError(f"timed out after {bound_s} s waiting for {description}")
        await asyncio.sleep(0.05)


async def http_answers(url: str) -> bool:
    """Return whether a GET request to the URL is answered 200 within 2 s."""
    try:
        async with (
            aiohttp.ClientSession() as session,
            session.get(url, timeout=aiohttp.ClientTimeout(total=2)) as response,
        ):
            return response.status == 200
    except (aiohttp.ClientError, TimeoutError):
        return False


async def get_json(url: str) -> Any:
    """Send a GET request and return the decoded JSON body."""
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        return json.loads(await response.read())


def python_module(module: str, *arguments: str) -> list[str]:
    """Return the command line that runs a module with the Python interpreter of the tests."""
    return [sys.executable, "-m", module, *arguments]


def command_line(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run `ibisspring` with the arguments and return its exit code and output."""
    binary = Path(sys.executable).parent / "ibisspring"
    return subprocess.run(
        [str(binary), *arguments], capture_output=True, text=True, timeout=120, check=False
    )
