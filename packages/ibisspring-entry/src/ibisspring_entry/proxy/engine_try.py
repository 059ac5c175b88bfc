"""One try of a generation on one engine over one connection."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp

from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Reason
from ibisspring_entry.proxy import engine_wire
from ibisspring_entry.proxy.connections import CONNECT_FAILURES, timeout_of
from ibisspring_entry.proxy.messages import TokenRun

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from ibisspring_core.messages.endpoints import EndpointRecord
    from ibisspring_entry.proxy.messages import GenerateRequest

STALLED_CHECKS = 3
"""
Checks in a row in which the engine says that it works on the request without getting on: one may be
a long prefill, three in a row are an engine that stands still.
"""

REFUSED_STATUSES = (429, 503)
CANCEL_S = 5.0


@dataclass(frozen=True)
class TryOutcome:
    """
    How a try ended.

    :param reason: None where the end mark came and fits.
    :param not_run: whether the engine surely did not work on it.
    :param same_engine: whether the engine works on and only this connection is lost.
    """

    reason: Reason | None
    not_run: bool = False
    same_engine: bool = False


class EngineTry:
    """The state of one try; `held` is shared with the tries after it."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        record: EndpointRecord,
        request: GenerateRequest,
        try_id: str,
        held: list[int],
        silence_s: float,
        deadline: float,
    ) -> None:
        self.outcome: TryOutcome | None = None
        self._session = session
        self._record = record
        self._request = request
        self._try_id = try_id
        self._held = held
        self._silence_s = silence_s
        self._deadline = deadline
        self._stalled_checks = 0

    async def runs(self) -> AsyncIterator[TokenRun]:
        """
        Stream the engine's tokens; `outcome` is set when the iteration is over.

        :return: token runs in order, without gaps.
        """
        posting = asyncio.ensure_future(self._post())
        response = None
        try:
            if not await self._heard(posting):
                return
            response = self._opened(posting)
            if response is None:
                return
            if response.status != 200:
                self.outcome = await self._refused(response)
                return
            async for run in self._lines(response):
                yield run
        finally:
            posting.cancel()
            if response is not None:
                response.close()

    async def _post(self) -> aiohttp.ClientResponse:
        body = engine_wire.generate_body(self._request, self._try_id, tuple(self._held))
        return await self._session.post(
            f"http://{self._record.address}/generate",
            json=body,
            headers=self._headers(),
            timeout=timeout_of(self._deadline - boot_now()),
            allow_redirects=False,
        )

    def _headers(self) -> dict[str, str]:
        return {
            "X-Request-Id": self._try_id,
            "X-Client-Account": self._request.client_account,
            "X-Correlation-Id": self._request.correlation_id,
        }

    def _opened(self, posting: asyncio.Future) -> aiohttp.ClientResponse | None:
        try:
            return posting.result()
        except CONNECT_FAILURES:
            self.outcome = TryOutcome(Reason.ENDPOINT_FAILED, not_run=True)
        except (aiohttp.ClientError, OSError, TimeoutError):
            self.outcome = TryOutcome(Reason.ENDPOINT_FAILED)
        return None

    async def _refused(self, response: aiohttp.ClientResponse) -> TryOutcome:
        if response.status not in REFUSED_STATUSES:
            return TryOutcome(Reason.ENDPOINT_FAILED)
        try:
            async with asyncio.timeout(self._silence_s):
                body = await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError):
            return TryOutcome(Reason.ENDPOINT_FAILED)
        return TryOutcome(Reason.ENDPOINT_REFUSED, not_run=engine_wire.says_not_run(body))

    async def _lines(self, response: aiohttp.ClientResponse) -> AsyncIterator[TokenRun]:
        # An engine or something before it may cross answers: the echo shows whose answer this is.
        if response.headers.get("X-Request-Id") != self._try_id:
            self.outcome = TryOutcome(Reason.MISMATCHED_ANSWER)
            return
        while self.outcome is None:
            reading = asyncio.ensure_future(response.content.readline())
            try:
                heard = await self._heard(reading)
            finally:
                reading.cancel()
            if not heard:
                return
            run = self._take_line(reading)
            if run is not None:
                yield run

    def _take_line(self, reading: asyncio.Future) -> TokenRun | None:
        try:
            data = reading.result()
        except (aiohttp.ClientError, OSError, ValueError, TimeoutError):
            data = b""
        line = engine_wire.parse_line(data)
        if line is None or line.error:
            # The connection ended, or the engine gave up, before the end mark: it is not whole.
            self.outcome = TryOutcome(Reason.ENDPOINT_FAILED)
            return None
        if line.request_id != self._try_id:
            self.outcome = TryOutcome(Reason.MISMATCHED_ANSWER)
            return None
        if line.done:
            fits = line.total == len(self._held)
            self.outcome = TryOutcome(None if fits else Reason.MISMATCHED_ANSWER)
            return None
        if line.offset != len(self._held):
            self.outcome = TryOutcome(Reason.MISMATCHED_ANSWER)
            return None
        self._held.extend(line.tokens)
        return TokenRun(
            self._request.request_id,
            line.offset,
            line.tokens,
            line.text,
            line.version,
            self._record.endpoint,
        )

    async def _heard(self, waiting: asyncio.Future) -> bool:
        """Wait for the connection; False sets the outcome because the connection is given up."""
        while True:
            left_s = self._deadline - boot_now()
            if left_s <= 0:
                self.outcome = TryOutcome(Reason.TIMEOUT)
                return False
            done, _ = await asyncio.wait({waiting}, timeout=min(self._silence_s, left_s))
            if done:
                self._stalled_checks = 0
                return True
            if boot_now() >= self._deadline:
                continue
            self.outcome = await self._check_silence(waiting)
            if self.outcome is not None:
                return False

    async def _check_silence(self, waiting: asyncio.Future) -> TryOutcome | None:
        """
        Ask the engine over a new connection about a request whose own connection is silent.

        A connection that something in between has lost track of stays silent for good while new
        ones work, so waiting longer on it would hang the caller. The engine's own word over a new
        connection tells a dead connection (it got further than we heard) from slow work.
        """
        state = await self.ask_state()
        if waiting.done():
            return None
        if state is None or state.state == "unknown":
            return TryOutcome(Reason.ENDPOINT_SILENT)
        if state.state == "done" or state.offset > len(self._held):
            return TryOutcome(Reason.ENDPOINT_SILENT, same_engine=True)
        self._stalled_checks += 1
        if self._stalled_checks < STALLED_CHECKS:
            return None
        return TryOutcome(Reason.ENDPOINT_SILENT)

    async def ask_state(self) -> engine_wire.RequestState | None:
        """
        Ask the engine how far it is.

        :return: its answer, or None where it gives none in `silence_s`.
        """
        url = f"http://{self._record.address}/requests/{self._try_id}"
        try:
            async with asyncio.timeout(self._silence_s):
                async with self._session.get(url, allow_redirects=False) as response:
                    state = engine_wire.parse_state(await response.read())
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None
        if state is None or state.request_id != self._try_id:
            return None
        return state

    async def cancel_upstream(self) -> None:
        """Tell the engine over a new connection that nobody waits for this try any more."""
        url = f"http://{self._record.address}/requests/{self._try_id}/cancel"
        try:
            async with asyncio.timeout(CANCEL_S):
                async with self._session.post(url, allow_redirects=False) as response:
                    await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError):
            # The engine ends the work itself when its own write fails.
            return


__all__ = ["EngineTry", "TryOutcome"]
