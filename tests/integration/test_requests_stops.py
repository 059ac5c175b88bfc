"""Planned stops of entries, and the reclaim of a data centre's cheap engines, under load."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

import aiohttp

from integration.lone_system import KEY, Answer, StandaloneEntrySystem, expected_tokens
from integration.processes import wait_until
from integration.requests_system import RequestsSystem

READY_POLL_S = 0.05


class Balancer:
    """The platform's load balancer: sends each request to an entry whose /readyz answered 200."""

    def __init__(self, system: RequestsSystem) -> None:
        self.system = system
        self.ready: list[str] = []

    async def poll_ready(self) -> None:
        while True:
            ready = []
            for entry in self.system.entries():
                try:
                    answer = await self.system.ask(self.system.url(entry), "GET", "/readyz")
                except aiohttp.ClientError:
                    continue
                if answer.status == 200:
                    ready.append(entry)
            self.ready = ready
            await asyncio.sleep(READY_POLL_S)

    async def ask(self, method: str, path: str, **options: object) -> Answer:
        entry = random.choice(self.ready)
        return await self.system.ask(self.system.url(entry), method, path, **options)


async def test_stopping_an_entry_breaks_no_request(tmp_path: Path) -> None:
    # An entry is stopped for an update under load. Streams through that entry used to break,
    # lookups were refused, and one ticket was sent to a closed port.
    system = await RequestsSystem.started(tmp_path, 1, 2, stop_wait_s=1.0)
    try:
        await system.start_endpoint("engine", "scorer-1", tokens_per_s=100, capacity=32)
        await system.start_endpoint("plain", "archive-1")
        balancer = Balancer(system)
        polling = asyncio.create_task(balancer.poll_ready())
        await wait_until(lambda: len(balancer.ready) == 2, "both entries to be ready")
        stopped = asyncio.Event()

        async def stream() -> list[Answer]:
            # A stream lasts longer than a stop that does not wait for open streams.
            body = {"model": "scorer-lm", "prompt": "p", "max_tokens": 400, "stream": True}
            answers = []
            while not stopped.is_set():
                answers.append(await balancer.ask("POST", "/v1/generate", json=body))
            return answers

        async def call() -> list[Answer]:
            answers = []
            while not stopped.is_set():
                for method in ("GET", "POST"):
                    answers.append(await balancer.ask(method, "/v1/services/archive-app/x"))
            return answers

        callers = [asyncio.create_task(work()) for work in (stream, call) for _ in range(4)]

        async def streams_run() -> bool:
            return len((await system.log("scorer-1"))["requests"]) > 8

        await wait_until(streams_run, "streams to run")
        exit_code = await system.cluster.process_by_name["e1"].terminate()
        stopped.set()
        answers = [answer for collected in await asyncio.gather(*callers) for answer in collected]
        polling.cancel()
    finally:
        system.stop_all()

    assert exit_code == 0
    assert {answer.status for answer in answers} == {200}
    streams = [answer for answer in answers if answer.headers["Content-Type"].endswith("ndjson")]
    assert all(b'"done":true' in answer.body for answer in streams)


async def test_a_kept_connection_is_not_lost_in_a_stop(tmp_path: Path) -> None:
    # A caller sends one ticket after the other over one connection. When the entry stopped, it used
    # to close the connection during a ticket, so that the caller did not know whether it had run.
    system = StandaloneEntrySystem(tmp_path)
    answered = 0
    try:
        entry = await system.start_entry(stop_wait_s=1.0)
        await system.start_plain("archive-1")
        stopping = None
        connector = aiohttp.TCPConnector(limit=1)
        async with aiohttp.ClientSession(connector=connector) as session:
            url = f"{system.url}/v1/services/archive-app/tickets"
            headers = {"Authorization": f"Bearer {KEY}"}
            while True:
                async with session.post(url, data=b"x", headers=headers) as response:
                    answer = await response.json()
                if response.status != 200:
                    break
                answered += 1
                if answered == 20:
                    stopping = asyncio.create_task(entry.terminate())
        exit_code = await stopping
        calls = (await system.log("archive-1"))["calls"]
    finally:
        system.stop_all()

    assert exit_code == 0
    assert (answer["error"]["reason"], answer["error"]["not_run"]) == ("stopping", True)
    assert answered == len(calls)


async def test_a_stream_longer_than_the_drain_time_ends_with_an_error(tmp_path: Path) -> None:
    # A stream takes longer than the drain time of a stopping entry. It used to end without an
    # error, and its caller took a truncated answer for a complete one.
    system = StandaloneEntrySystem(tmp_path)
    try:
        entry = await system.start_entry(drain_s=6.0)
        await system.start_engine("scorer-1", tokens_per_s=40)
        streaming = asyncio.create_task(system.generate("p", 2000))

        async def is_streaming() -> bool:
            return any(request["made"] for request in (await system.log("scorer-1"))["requests"])

        await wait_until(is_streaming, "the stream to run")
        stopping = asyncio.create_task(entry.terminate())

        async def refused() -> bool:
            other = await system.generate("q", 4)
            assert other.headers["Connection"] == "close" or other.status == 200
            return other.status == 503 and other.error()["reason"] == "stopping"

        await wait_until(refused, "new requests to be refused over the open port")
        await asyncio.sleep(1.0)
        assert await refused()
        exit_code = await stopping
        answer = await streaming
    finally:
        system.stop_all()

    assert exit_code == 0
    assert answer.lines[-1]["error"]["reason"] == "stopping"
    assert answer.lines[-1]["error"]["not_run"] is False


async def test_reclaim_of_a_data_centres_cheap_engines(tmp_path: Path) -> None:
    # All cheap engines of a data centre are reclaimed at once on 2 s notice while they run streams.
    # All of these streams used to break, and new ones were sent to the engines until they ended.
    system = StandaloneEntrySystem(tmp_path)
    try:
        await system.start_entry(silence_s=1.0)
        for number in range(2):
            await system.start_engine(f"standard-{number}", tokens_per_s=100, capacity=16)
        cheap = [f"cheap-{number}" for number in range(3)]
        for name in cheap:
            options = {"kind": "cheap", "data_centre": "derby", "tokens_per_s": 100}
            await system.start_engine(name, capacity=16, **options)
        early_streams = [
            asyncio.create_task(system.generate(f"p{number}", 400)) for number in range(24)
        ]

        async def streams_on_cheap() -> bool:
            logs = [await system.log(name) for name in cheap]
            return all(any(request["made"] for request in log["requests"]) for log in logs)

        await wait_until(streams_on_cheap, "streams on all cheap engines")
        for name in cheap:
            system.process_by_name[name].send(15)

        async def all_leaving() -> bool:
            return all([(await system.log(name))["left"] for name in cheap])

        await wait_until(all_leaving, "the engines to announce that they leave")
        late_streams = [
            asyncio.create_task(system.generate(f"q{number}", 40)) for number in range(12)
        ]
        late_answers = await asyncio.gather(*late_streams)
        prompts_on_cheap = [
            request["prompt"] for name in cheap for request in (await system.log(name))["requests"]
        ]
        await asyncio.sleep(2.0)
        for name in cheap:
            system.process_by_name[name].kill()
        early_answers = await asyncio.gather(*early_streams)
    finally:
        system.stop_all()

    for prefix, count, answers in (("p", 400, early_answers), ("q", 40, late_answers)):
        for number, answer in enumerate(answers):
            assert answer.is_complete(), answer.lines[-1:]
            assert answer.tokens() == expected_tokens(f"{prefix}{number}", count)
    assert not [prompt for prompt in prompts_on_cheap if prompt.startswith("q")]
