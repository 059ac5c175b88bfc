"""Scores samples in batches and uses no score that came late or for another version."""

from __future__ import annotations

import asyncio
import dataclasses
import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import aiohttp
import msgspec

from ibisspring_core.errors import Reason
from ibisspring_core.json_input import decode_json

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisspring_entry.rollouts.samples import Sample

BATCH_SAMPLES = 32
GATHER_S = 0.05
SCORE_TIMEOUT_S = 30.0
PAUSE_MOST_S = 2.0


@dataclass(frozen=True)
class ScoreItem:
    """One score as the scorer sent it."""

    sample: str
    score: float
    version: int


@dataclass(frozen=True)
class ScoreAnswer:
    """A scorer's answer."""

    batch_id: str
    scores: tuple[ScoreItem, ...]


@dataclass(frozen=True)
class Waiting:
    """A sample that waits for its score."""

    sample: Sample
    answer: asyncio.Future[Sample]


class ScoreBatcher:
    """Collects a step's samples into scorer batches, one batch a version."""

    def __init__(
        self, adapter: str, addresses: Callable[[], tuple[str, ...]], counters: Any
    ) -> None:
        self._adapter = adapter
        self._addresses = addresses
        self._counters = counters
        self._waiting_by_version: dict[int, list[Waiting]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._next_address = 0

    async def score(self, sample: Sample) -> Sample:
        """
        Wait for the score of a sample.

        :param sample: a whole sample.
        :return: the sample with the score for its newest version.
        """
        version = sample.newest_version()
        answer: asyncio.Future[Sample] = asyncio.get_running_loop().create_future()
        waiting = self._waiting_by_version.setdefault(version, [])
        waiting.append(Waiting(sample, answer))
        if len(waiting) == 1:
            self._start(self._send_soon(version))
        if len(waiting) >= BATCH_SAMPLES:
            self._start(self._send_now(version))
        return await answer

    async def stop(self) -> None:
        """Cancel the batches that are under way."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _start(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_soon(self, version: int) -> None:
        await asyncio.sleep(GATHER_S)
        await self._send_now(version)

    async def _send_now(self, version: int) -> None:
        """
        Send until each sample has its score.

        A scorer that is late for long must not cost the samples as well: made again they would only
        wait for the same scorer. They end when they have become stale or their step ends.
        """
        waiting = tuple(self._waiting_by_version.pop(version, ()))
        pause_s = GATHER_S
        while waiting:
            waiting = await self._send(version, waiting)
            if not waiting:
                return
            self._counters.retried(Reason.MISMATCHED_ANSWER)
            await asyncio.sleep(pause_s)
            pause_s = min(PAUSE_MOST_S, 2 * pause_s)

    async def _send(self, version: int, waiting: tuple[Waiting, ...]) -> tuple[Waiting, ...]:
        addresses = self._addresses()
        if not addresses:
            return waiting
        self._next_address += 1
        address = addresses[self._next_address % len(addresses)]
        batch_id = secrets.token_hex(8)
        answer = await _post_batch(address, batch_id, self._adapter, version, waiting)
        score_by_sample = self._usable(answer, batch_id, version)
        missing = []
        for item in waiting:
            score = score_by_sample.get(item.sample.sample)
            if score is None:
                missing.append(item)
                continue
            scored = dataclasses.replace(
                item.sample, score=score.score, score_version=score.version
            )
            _settle(item, scored)
        return tuple(missing)

    def _usable(
        self, answer: ScoreAnswer | None, batch_id: str, version: int
    ) -> dict[str, ScoreItem]:
        """
        Pick the scores that are for what was asked.

        A scorer that still holds an old model, or whose late answer to another batch comes back on
        this connection, sends scores that look like any other; they show only by the version and
        the batch id that they carry, so a score without the asked ones is never used.
        """
        if answer is None or answer.batch_id != batch_id:
            self._counters.add("scores.mismatched_batch")
            return {}
        score_by_sample: dict[str, ScoreItem] = {}
        for item in answer.scores:
            if item.version != version:
                self._counters.add("scores.mismatched_version")
                continue
            score_by_sample[item.sample] = item
        return score_by_sample


def _settle(item: Waiting, result: Sample) -> None:
    if not item.answer.done():
        item.answer.set_result(result)


async def _post_batch(
    address: str, batch_id: str, adapter: str, version: int, waiting: tuple[Waiting, ...]
) -> ScoreAnswer | None:
    items = [
        {
            "sample": item.sample.sample,
            "prompt": item.sample.prompt,
            "tokens": item.sample.tokens,
        }
        for item in waiting
    ]
    body = {"batch_id": batch_id, "adapter": adapter, "version": version, "items": items}
    timeout = aiohttp.ClientTimeout(total=SCORE_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.post(f"http://{address}/score", data=msgspec.json.encode(body)) as response,
        ):
            if response.status != 200:
                return None
            return decode_json(await response.read(), ScoreAnswer)
    except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError):
        return None


__all__ = ["ScoreAnswer", "ScoreBatcher", "ScoreItem"]
