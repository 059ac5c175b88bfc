"""An entry without control daemons and fake endpoints, each a process, and calls to the entry."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp

from fakes.engine import token_at
from integration.fakes_of_test import Fakes
from integration.processes import (
    Process,
    free_address,
    http_answers,
    python_module,
    wait_until,
)

KEY = "key-stoke-foundry"
MODEL = "scorer-lm"
SERVICE = "archive-app"


@dataclass
class Answer:
    """The answer to a caller's request; `lines` are those of a streamed generation."""

    status: int
    headers: Mapping[str, str]
    body: bytes
    lines: list[dict[str, Any]] = field(default_factory=list)

    def json(self) -> Any:
        return json.loads(self.body)

    def error(self) -> dict[str, Any]:
        return self.json()["error"]

    def tokens(self) -> list[int]:
        return [token for line in self.lines for token in line.get("tokens", ())]

    def is_complete(self) -> bool:
        return bool(self.lines) and self.lines[-1].get("done") is True


def expected_tokens(prompt: str, count: int) -> list[int]:
    """Return the tokens that every fake engine generates for the prompt."""
    return [token_at(prompt, offset) for offset in range(count)]


class StandaloneEntrySystem(Fakes):
    """The processes of the entry and the fake endpoints by name."""

    def __init__(self, folder: Path) -> None:
        super().__init__(self._start)
        self.folder = folder
        self.process_by_name: dict[str, Process] = {}
        self.url = ""

    async def start_entry(self, **entry: Any) -> Process:
        listen = free_address()
        self.url = f"http://{listen}"
        options = {
            "services": [MODEL, SERVICE],
            "log": str(self.folder / "log.jsonl"),
            "entry": {
                "listen_http": listen,
                "listen_peer": free_address(),
                "silence_s": 1.0,
                "stop_wait_s": 0.2,
                **entry,
            },
        }
        path = self.folder / "entry.json"
        path.write_text(json.dumps(options))
        process = self._start("entry", python_module("integration.lone_entry", str(path)))
        await wait_until(lambda: http_answers(f"{self.url}/readyz"), "the entry to be ready")
        return process

    async def start_engine(self, name: str, **options: Any) -> Process:
        return await self.announce_fake("fakes.engine", name, [self.url], **options)

    async def start_plain(self, name: str, **options: Any) -> Process:
        return await self.announce_fake("fakes.plain", name, [self.url], **options)

    def _start(self, name: str, arguments: list[str]) -> Process:
        process = Process(name, arguments, self.folder / f"{name}.txt")
        process.start()
        self.process_by_name[name] = process
        return process

    async def generate(self, prompt: str, max_tokens: int, **body: Any) -> Answer:
        """Request a generation, which is streamed unless `body` has `stream=False`."""
        body = {"model": MODEL, "prompt": prompt, "max_tokens": max_tokens, "stream": True, **body}
        answer = await self.ask("POST", "/v1/generate", json=body)
        if answer.status == 200 and body["stream"]:
            answer.lines = [json.loads(line) for line in answer.body.splitlines()]
        return answer

    async def ask(
        self, method: str, path: str, headers: dict[str, str] | None = None, **request_options: Any
    ) -> Answer:
        headers = {"Authorization": f"Bearer {KEY}", **(headers or {})}
        async with aiohttp.ClientSession() as session:
            async with session.request(
                method, self.url + path, headers=headers, **request_options
            ) as response:
                body = await response.read()
                return Answer(response.status, response.headers, body)

    def stop_all(self) -> None:
        for process in self.process_by_name.values():
            process.kill()
