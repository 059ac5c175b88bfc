from __future__ import annotations

import asyncio
import os
import socket
import subprocess
import sys
import threading
from pathlib import Path

import aiohttp
import pytest
from prometheus_client.parser import text_string_to_metric_families

from ibisspring_core.counters import Counters
from ibisspring_core.errors import Reason
from ibisspring_core.exposition import COUNTED, MAX_READERS
from ibisspring_core.kernel import Kernel
from ibisspring_core.metrics_server import MetricsServer
from integration.processes import free_address, wait_until

REPOSITORY = Path(__file__).resolve().parents[3]


async def _read(address: str) -> dict:
    async with aiohttp.ClientSession() as session:
        async with session.get(f"http://{address}/metrics") as response:
            assert response.status == 200
            text = await response.text()
    families = text_string_to_metric_families(text)
    return {
        (sample.name, *sorted(sample.labels.values(), reverse=True)): sample.value
        for family in families
        for sample in family.samples
    }


@pytest.fixture
async def served():
    """Yield the counters and the address that serves them."""
    address = free_address()
    counters = Counters.from_config(None)
    kernel = Kernel.from_services((counters, MetricsServer(address)))
    await kernel.start()
    yield counters, address
    await kernel.stop()


async def test_counters_and_durations_are_served_as_text(served) -> None:
    counters, address = served
    counters.refused(Reason.TIMEOUT)
    counters.refused(Reason.TIMEOUT)
    counters.observe("request_seconds", 0.3, "answered")
    counters.observe("request_seconds", 40.0, "answered")

    value_by_sample = await _read(address)

    assert value_by_sample[(f"{COUNTED}_total", "refused.timeout")] == 2
    assert value_by_sample[("ibisspring_request_seconds_count", "answered")] == 2
    assert value_by_sample[("ibisspring_request_seconds_bucket", "answered", "0.25")] == 0
    assert value_by_sample[("ibisspring_request_seconds_bucket", "answered", "0.5")] == 1
    assert value_by_sample[("ibisspring_request_seconds_sum", "answered")] == 40.3


async def test_several_outcomes_of_one_duration_are_one_family(served) -> None:
    counters, address = served
    counters.observe("try_seconds", 0.25, "answered")
    counters.observe("try_seconds", 0.002, "timeout")
    counters.observe("request_seconds", 0.002, "answered")

    value_by_sample = await _read(address)

    assert value_by_sample[("ibisspring_try_seconds_bucket", "answered", "0.25")] == 1
    assert value_by_sample[("ibisspring_try_seconds_bucket", "timeout", "+Inf")] == 1
    assert value_by_sample[("ibisspring_request_seconds_count", "answered")] == 1


def test_exporter_is_not_imported_before_the_first_read() -> None:
    # The exporter's modules use one of an entry's thirty megabytes of memory. If they were imported
    # at the start, each of 200 processes would use this megabyte.
    program = "import sys, ibisspring_platform.main; print('prometheus_client' in sys.modules)"
    environment = {**os.environ, "PYTHONPATH": "platform"}
    ran = subprocess.run(
        [sys.executable, "-c", program],
        cwd=REPOSITORY,
        env=environment,
        capture_output=True,
        text=True,
        check=True,
    )

    assert ran.stdout.strip() == "False"


async def test_stalled_reader_does_not_block_other_readers(served) -> None:
    """
    A metrics collector connects, sends half a request and hangs.

    If requests were served one after the other, the next reader would wait without end.
    """
    counters, address = served
    counters.add("samples.raced")
    host, _, port = address.rpartition(":")
    _, hanging = await asyncio.open_connection(host, int(port))
    hanging.write(b"GET /metrics HTTP/1.1\r\nHost")
    await hanging.drain()

    value_by_sample = await _read(address)

    assert value_by_sample[(f"{COUNTED}_total", "samples.raced")] == 1
    hanging.close()


async def test_daemon_starts_without_metrics_if_the_port_is_in_use() -> None:
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        kernel = Kernel.from_services((Counters.from_config(None), MetricsServer(address)))

        await kernel.start()
        await kernel.stop()


async def test_silent_readers_take_few_threads_and_leave_room_for_others(served) -> None:
    # Each connection took a thread and a descriptor for as long as its client liked.
    _, address = served
    host, _, port = address.rpartition(":")
    await _read(address)
    before = threading.active_count()
    silent = [socket.create_connection((host, int(port))) for _ in range(60)]

    async def is_read() -> bool:
        try:
            await _read(address)
        except aiohttp.ClientError:
            return False
        return True

    await wait_until(is_read, "metrics beside silent readers")
    assert threading.active_count() - before <= MAX_READERS
    for one in silent:
        one.close()
