"""The product's own interface: a prompt that ends the engines that run it, at several entries."""

from __future__ import annotations

from pathlib import Path

from integration.lone_system import Answer
from integration.processes import wait_until
from integration.requests_system import RequestsSystem

ENGINES = 8
# Ends of engines after which the prompt must not be sent any more.
KNOWN_ENDS = 3


async def generate(system: RequestsSystem, entry: str) -> Answer:
    body = {"model": "scorer-lm", "prompt": "heat 4711", "max_tokens": 40}
    return await system.ask(system.url(entry), "POST", "/v1/generate", json=body)


def ended_engines(system: RequestsSystem) -> int:
    names = [f"scorer-{number}" for number in range(ENGINES)]
    return sum(not system.cluster.process_by_name[name].alive() for name in names)


async def test_a_prompt_that_ends_its_engines_is_stopped_at_every_entry(tmp_path: Path) -> None:
    # Each entry counted the tries of one request. A caller that repeated the prompt at another
    # entry, or at a restarted one, ended three more engines each time.
    system = await RequestsSystem.started(tmp_path, 3, 2)
    try:
        for number in range(ENGINES):
            await system.start_endpoint("engine", f"scorer-{number}")
            await system.fault(f"scorer-{number}", crash_after=0)
        first, second = system.entries()

        async def quarantined(entry: str) -> bool:
            answer = await generate(system, entry)
            listed = (await system.rules.run_json("suspects", "list"))["suspects"]
            return answer.status == 503 and listed[0]["standing"] == "quarantined"

        for entry in (first, second):
            await wait_until(lambda entry=entry: quarantined(entry), f"{entry} to refuse it")
        assert ended_engines(system) == KNOWN_ENDS

        system.cluster.process_by_name[first].kill()
        system.cluster.start(first)
        await wait_until(lambda: _is_ready(system, first), "the entry to be ready")
        answer = await generate(system, first)
        assert (answer.status, answer.error()["reason"]) == (503, "crash_suspect")
        assert answer.error()["not_run"] is True
        assert ended_engines(system) == KNOWN_ENDS

        identity = (await system.rules.run_json("suspects", "list"))["suspects"][0]["identity"]
        await system.rules.run_json("suspects", "release", identity)
        assert (await system.rules.run_json("suspects", "list"))["suspects"] == []
    finally:
        system.stop_all()


async def _is_ready(system: RequestsSystem, entry: str) -> bool:
    try:
        return (await system.ask(system.url(entry), "GET", "/readyz")).status == 200
    except OSError:
        return False
