"""Scores samples in scoring batches; ignores scores of another batch or weight version."""

from __future__ import annotations

import asyncio
import dataclasses
import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import aiohttp
import msgspec

from ibisspring_core.errors import Reason
from ibisspring_core.http_sessions import open_session
from ibisspring_core.json_input import decode_json
from ibisspring_core.response_bodies import read_body

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisspring_entry.rollouts.samples import Sample

MAX_BATCH_SAMPLES = 32
BATCH_DELAY_S = 0.05
SCORE_TIMEOUT_S = 30.0
MAX_PAUSE_S = 2.0


@dataclass(frozen=True)
class ScoreItem:
    """One score in a scorer's response."""

    sample: str
    score: float
    version: int


@dataclass(frozen=True)
class ScoreAnswer:
    """A scorer's response to one scoring batch."""

    batch_id: str
    scores: tuple[ScoreItem, ...]


@dataclass(frozen=True)
class PendingScore:
    """A sample without a score, and the future that is resolved with the scored sample."""

    sample: Sample
    future: asyncio.Future[Sample]


class ScoreBatcher:
    """Collects the samples of a step into scoring batches, each for one weight version."""

    def __init__(
        self, adapter: str, addresses: Callable[[], tuple[str, ...]], counters: Any
    ) -> None:
        self._adapter = adapter
        self._addresses = addresses
        self._counters = counters
        self._pending_by_version: dict[int, list[PendingScore]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._next_address = 0

    async def score(self, sample: Sample) -> Sample:
        """
        Score a sample as part of a scoring batch and wait for the result.

        :param sample: a complete sample without a score.
        :return: the sample with the score for its newest weight version.
        """
        version = sample.newest_version()
        future: asyncio.Future[Sample] = asyncio.get_running_loop().create_future()
        pending = self._pending_by_version.setdefault(version, [])
        pending.append(PendingScore(sample, future))
        if len(pending) == 1:
            self._start_task(self._send_after_delay(version))
        if len(pending) >= MAX_BATCH_SAMPLES:
            self._start_task(self._send_until_scored(version))
        return await future

    async def stop(self) -> None:
        """Cancel the scoring batches that wait for more samples or are being scored."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _start_task(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_after_delay(self, version: int) -> None:
        await asyncio.sleep(BATCH_DELAY_S)
        await self._send_until_scored(version)

    async def _send_until_scored(self, version: int) -> None:
        """
        Send a scoring batch repeatedly until each of its samples has a score.

        Samples are not discarded because of a slow scorer: regenerated samples would only wait for
        the same scorer. Samples are discarded only when they have become stale; the retries end
        when the step ends.
        """
        pending = tuple(self._pending_by_version.pop(version, ()))
        pause_s = BATCH_DELAY_S
        while pending:
            pending = await self._send_once(version, pending)
            if not pending:
                return
            self._counters.retried(Reason.MISMATCHED_ANSWER)
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_PAUSE_S, 2 * pause_s)

    async def _send_once(
        self, version: int, pending: tuple[PendingScore, ...]
    ) -> tuple[PendingScore, ...]:
        addresses = self._addresses()
        if not addresses:
            return pending
        self._next_address += 1
        address = addresses[self._next_address % len(addresses)]
        batch_id = secrets.token_hex(8)
        answer = await _post_batch(address, batch_id, self._adapter, version, pending)
        score_by_sample_id = self._matching_scores(answer, batch_id, version)
        missing = []
        for item in pending:
            score = score_by_sample_id.get(item.sample.sample_id)
            if score is None:
                missing.append(item)
                continue
            scored = dataclasses.replace(
                item.sample, score=score.score, score_version=score.version
            )
            _resolve(item, scored)
        return tuple(missing)

    def _matching_scores(
        self, answer: ScoreAnswer | None, batch_id: str, version: int
    ) -> dict[str, ScoreItem]:
        """
        Return the scores that match the requested batch and version, by sample id.

        A scorer that still uses an old model, or whose late response to another batch arrives on
        this connection, sends scores that look valid. Only their version and batch id reveal the
        mismatch, so a score is used only if both are the requested ones.
        """
        if answer is None or answer.batch_id != batch_id:
            self._counters.add("scores.mismatched_batch")
            return {}
        score_by_sample_id: dict[str, ScoreItem] = {}
        for item in answer.scores:
            if item.version != version:
                self._counters.add("scores.mismatched_version")
                continue
            score_by_sample_id[item.sample] = item
        return score_by_sample_id


def _resolve(item: PendingScore, result: Sample) -> None:
    if not item.future.done():
        item.future.set_result(result)


async def _post_batch(
    address: str, batch_id: str, adapter: str, version: int, pending: tuple[PendingScore, ...]
) -> ScoreAnswer | None:
    items = [
        {
            "sample": item.sample.sample_id,
            "prompt": item.sample.prompt,
            "tokens": item.sample.tokens,
        }
        for item in pending
    ]
    body = {"batch_id": batch_id, "adapter": adapter, "version": version, "items": items}
    timeout = aiohttp.ClientTimeout(total=SCORE_TIMEOUT_S)
    try:
        async with (
            open_session(aiohttp.TCPConnector(), timeout=timeout) as session,
            session.post(
                f"http://{address}/score", data=msgspec.json.encode(body), allow_redirects=False
            ) as response,
        ):
            if response.status != 200:
                return None
            return decode_json(await read_body(response), ScoreAnswer)
    except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError):
        return None


__all__ = ["ScoreAnswer", "ScoreBatcher", "ScoreItem"]
