"""Latency that an entry adds to a request, and tokens that resuming saves after a crash."""

from __future__ import annotations

import asyncio
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "tests"))

import aiohttp
from hdrh.histogram import HdrHistogram

from bench._report import print_table
from integration.lone_system import KEY, SERVICE, StandaloneEntrySystem
from integration.processes import wait_until

CALLS = 2000
STREAM_TOKENS = 2000
CRASH_TOKENS = 400
CRASH_AFTER = 300
MICROSECONDS = 1_000_000
HEADERS = {"Authorization": f"Bearer {KEY}", "X-Request-Id": "bench", "Connection": "keep-alive"}


@dataclass(frozen=True)
class Latency:
    """Microseconds at the median and the 99th percentile, and requests a second."""

    p50: float
    p99: float
    per_s: float


async def measure(calls: int, callers: int, call: Callable[[], Awaitable[None]]) -> Latency:
    """Time `calls` calls that `callers` concurrent callers share."""
    histogram = HdrHistogram(1, 60 * MICROSECONDS, 3)
    remaining = iter(range(calls))

    async def caller() -> None:
        for _ in remaining:
            started_s = time.perf_counter()
            await call()
            histogram.record_value(round((time.perf_counter() - started_s) * MICROSECONDS))

    started_s = time.perf_counter()
    await asyncio.gather(*(caller() for _ in range(callers)))
    took_s = time.perf_counter() - started_s
    p50, p99 = (float(histogram.get_value_at_percentile(share)) for share in (50, 99))
    return Latency(p50, p99, calls / took_s)


async def measure_calls(system: StandaloneEntrySystem, session: aiohttp.ClientSession) -> None:
    """Print the latency of a small lookup, first direct, then through the entry."""
    urls = {
        "direct": f"http://{system.address_by_name['archive-1']}/find",
        "through the entry": f"{system.url}/v1/services/{SERVICE}/find",
    }
    rows = []
    for callers in (1, 16):
        measured: dict[str, Latency] = {}
        for name, url in urls.items():

            async def call(url: str = url) -> None:
                async with session.get(url, headers=HEADERS) as response:
                    await response.read()
                    assert response.status == 200, response.status

            await measure(200, callers, call)
            measured[name] = await measure(CALLS, callers, call)
        direct, through = measured.values()
        for name, latency in measured.items():
            rows.append(
                (
                    str(callers),
                    name,
                    f"{latency.p50:.0f}",
                    f"{latency.p99:.0f}",
                    f"{latency.per_s:.0f}",
                )
            )
        ratios = (through.p50 / direct.p50, through.p99 / direct.p99, through.per_s / direct.per_s)
        rows.append((str(callers), "ratio", *(f"{ratio:.2f}" for ratio in ratios)))
    print_table(("callers", "way", "p50 us", "p99 us", "requests/s"), rows)


async def stream_gaps(
    session: aiohttp.ClientSession, url: str, body: dict[str, object]
) -> tuple[HdrHistogram, float]:
    """Return the gaps between the lines of one stream, and its total seconds."""
    gaps = HdrHistogram(1, 60 * MICROSECONDS, 3)
    started_s = last = time.perf_counter()
    async with session.post(url, json=body, headers=HEADERS) as response:
        async for _ in response.content:
            now = time.perf_counter()
            gaps.record_value(max(1, round((now - last) * MICROSECONDS)))
            last = now
    return gaps, time.perf_counter() - started_s


async def measure_streams(system: StandaloneEntrySystem, session: aiohttp.ClientSession) -> None:
    """Print the time for each chunk of a stream that the engine produces without pauses."""
    body = {
        "model": "scorer-lm",
        "prompt": "p",
        "max_tokens": STREAM_TOKENS,
        "stream": True,
        "request_id": "bench",
        "adapter": "",
        "resume_tokens": [],
    }
    urls = {
        "direct": f"http://{system.address_by_name['scorer-1']}/generate",
        "through the entry": f"{system.url}/v1/generate",
    }
    rows = []
    chunks = STREAM_TOKENS / 4
    us_by_name: dict[str, float] = {}
    for name, url in urls.items():
        await stream_gaps(session, url, body)
        gaps, took_s = await stream_gaps(session, url, body)
        us_by_name[name] = took_s / chunks * MICROSECONDS
        p99 = gaps.get_value_at_percentile(99)
        rows.append((name, f"{us_by_name[name]:.0f}", f"{p99:.0f}"))
    added = us_by_name["through the entry"] - us_by_name["direct"]
    rows.append(("added", f"{added:.0f}", ""))
    print_table(("way", "us a chunk", "p99 gap us"), rows)


async def made_tokens(system: StandaloneEntrySystem, names: tuple[str, ...]) -> int:
    """Return the tokens that the named engines, which must be running, have made."""
    total = 0
    for name in names:
        total += sum(request["made"] for request in (await system.log(name))["requests"])
    return total


async def measure_crash(resume: bool) -> int:
    """Return the tokens made in total for one answer whose engine crashes before its end."""
    with tempfile.TemporaryDirectory() as folder:
        system = StandaloneEntrySystem(Path(folder))
        try:
            await system.start_entry()
            await system.start_engine("scorer-1", tokens_per_s=2000)
            await system.fault("scorer-1", crash_after=CRASH_AFTER)
            generation = asyncio.create_task(system.generate("p", CRASH_TOKENS))
            await wait_until(lambda: not system.process_by_name["scorer-1"].alive(), "the crash")
            if not resume:
                # Without resuming, a caller starts again from the first token.
                generation.cancel()
            await system.start_engine("scorer-2", tokens_per_s=2000)
            if resume:
                assert (await generation).is_complete()
            else:
                assert (await system.generate("p", CRASH_TOKENS)).is_complete()
            return CRASH_AFTER + await made_tokens(system, ("scorer-2",))
        finally:
            system.stop_all()


async def run() -> None:
    with tempfile.TemporaryDirectory() as folder:
        system = StandaloneEntrySystem(Path(folder))
        try:
            await system.start_entry()
            await system.start_engine("scorer-1", tokens_per_s=1_000_000)
            await system.start_plain("archive-1")
            async with aiohttp.ClientSession() as session:
                await measure_calls(system, session)
                print()
                await measure_streams(system, session)
        finally:
            system.stop_all()
    print()
    rows = []
    for name, resume in (("asked again from the start", False), ("resumed", True)):
        made = await measure_crash(resume)
        redone = made - CRASH_TOKENS
        rows.append((name, str(made), str(redone), f"{redone / CRASH_TOKENS:.2f}"))
    print_table(("after a crash at 300 of 400 tokens", "made", "redone", "share"), rows)


def main() -> None:
    """Measure and print."""
    asyncio.run(run())


if __name__ == "__main__":
    main()
