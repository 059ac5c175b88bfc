from __future__ import annotations

import os
import resource
import subprocess
import sys

import pytest

from ibisspring_core import grpc_runtime
from ibisspring_core.grpc_runtime import GrpcRuntime
from ibisspring_core.kernel import Kernel

# Starts a daemon's gRPC server with few free descriptors, and raises the limit when the daemon logs
# that it waits for descriptors.
PROGRAM = """
import asyncio, os, resource, sys
import eliot
from ibisspring_core.counters import Counters
from ibisspring_core.grpc_runtime import GrpcRuntime
from ibisspring_core.kernel import Kernel
from ibisspring_core.messages.peers import PEER_MESSAGES
from ibisspring_core.peer_rpc import PeerClient, PeerServer

def limit(message):
    if message.get("message_type") == "grpc_runtime:refused":
        resource.setrlimit(resource.RLIMIT_NOFILE, (4096, 4096))

async def main():
    eliot.add_destinations(limit)
    server = PeerServer("127.0.0.1:0", PEER_MESSAGES)
    client = PeerClient(PEER_MESSAGES, Counters.from_config(None))
    kernel = Kernel.from_services((GrpcRuntime(), client, server))
    opened = len(os.listdir("/proc/self/fd")) - 1
    resource.setrlimit(resource.RLIMIT_NOFILE, (opened + int(sys.argv[1]), 4096))
    await kernel.start()
    await kernel.stop()

asyncio.run(main())
print("stopped")
"""


CALLS = """
    from ibisspring_core.messages.directory import ReadTable
    await GrpcRuntime.start(kernel.find("grpc_runtime"), kernel)
    await client.call("127.0.0.1:1", ReadTable(), 1.0)
    await client.stop()
    opened = len(os.listdir("/proc/self/fd")) - 1
    resource.setrlimit(resource.RLIMIT_NOFILE, (opened, 4096))
    print((await client.call("127.0.0.1:1", ReadTable(), 1.0)).reason.name)
"""


@pytest.mark.parametrize("spare", range(6))
def test_a_daemon_that_starts_without_descriptors_does_not_crash(spare) -> None:
    # A daemon's VM has no free file descriptors while the daemon starts. If gRPC were initialised
    # then, its native library would crash the daemon with signal 11 or 6.
    ended = subprocess.run(
        [sys.executable, "-c", PROGRAM, str(spare)], capture_output=True, text=True, timeout=60
    )
    assert (ended.returncode, ended.stdout) == (0, "stopped\n"), ended.stderr


def test_calls_without_descriptors_are_refused() -> None:
    # A running daemon has no free file descriptor while all of its channels are closed. If gRPC had
    # released its pollers with the last channel, the next call would crash the daemon with signal
    # 6.
    program = PROGRAM.replace("await kernel.start()", CALLS)
    ended = subprocess.run(
        [sys.executable, "-c", program, "100"], capture_output=True, text=True, timeout=60
    )
    assert (ended.returncode, ended.stdout) == (0, "ENDPOINT_SILENT\nstopped\n"), ended.stderr


async def test_a_daemon_that_waits_for_descriptors_stops_on_request(monkeypatch) -> None:
    # A daemon waits for file descriptors at its start and receives a signal to stop. If the wait
    # could not be interrupted, the daemon would be killed after its grace period.
    def eventfd(value: int) -> int:
        raise OSError(24, "Too many open files")

    monkeypatch.setattr(grpc_runtime.os, "eventfd", eventfd)
    kernel = Kernel.from_services((GrpcRuntime(),))
    kernel.stopping.set()
    with pytest.raises(SystemExit) as ended:
        await kernel.start()
    assert ended.value.code == 0


def test_refused_descriptors_are_closed_again() -> None:
    before = os.listdir("/proc/self/fd")
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (len(before) + 3, hard))
    try:
        assert grpc_runtime._descriptor_error() is not None
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    assert len(os.listdir("/proc/self/fd")) == len(before)
    assert grpc_runtime._descriptor_error() is None
