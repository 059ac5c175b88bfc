"""One try of a generation: one request to one engine over one connection."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp

from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Reason
from ibisspring_core.response_bodies import read_body
from ibisspring_entry.proxy import engine_wire
from ibisspring_entry.proxy.connections import CONNECT_FAILURES, request_timeout
from ibisspring_entry.proxy.messages import TokenRun

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from ibisspring_core.messages.endpoints import EndpointRecord
    from ibisspring_entry.proxy.messages import GenerateRequest

MAX_STALLED_CHECKS = 3
"""
Consecutive checks in which the engine reports that it works on the request but has made no new
token. A single check of this kind may be a long prefill; after 3 checks the engine counts as
stalled.
"""

REFUSED_STATUSES = (429, 503)
"""HTTP statuses with which an engine refuses a request."""

CANCEL_TIMEOUT_S = 5.0
"""Time limit in seconds for a cancel request to the engine."""


@dataclass(frozen=True)
class TryOutcome:
    """
    How a try of a generation ended.

    :param reason: why the try failed; None if the end mark arrived and its total matches the tokens
        received.
    :param not_run: True only if the engine certainly did no work for the request.
    :param same_engine: whether the engine still works and only this connection was lost, so that
        the next try goes to the same engine.
    """

    reason: Reason | None
    not_run: bool = False
    same_engine: bool = False


class EngineTry:
    """
    The state of one try of a generation.

    :param session: the HTTP client session for all endpoints.
    :param record: the engine's record, which gives its address.
    :param request: the generation.
    :param try_id: the id of this try, which the engine echoes in its response and in every line.
    :param received: tokens received so far; the list is shared with the later tries, which resume
        after them.
    :param silence_s: seconds without data after which the engine is asked for the request's state.
    :param deadline: boot-clock time at which the try ends as timed out.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        record: EndpointRecord,
        request: GenerateRequest,
        try_id: str,
        received: list[int],
        silence_s: float,
        deadline: float,
    ) -> None:
        self.outcome: TryOutcome | None = None
        self._session = session
        self._record = record
        self._request = request
        self._try_id = try_id
        self._received = received
        self._silence_s = silence_s
        self._deadline = deadline
        self._stalled_checks = 0

    async def stream(self) -> AsyncIterator[TokenRun]:
        """
        Stream the engine's tokens; `outcome` is set when the iteration ends.

        :return: runs of tokens in order, without gaps.
        """
        posting = asyncio.ensure_future(self._post())
        response = None
        try:
            if not await self._wait_for(posting):
                return
            response = self._response_of(posting)
            if response is None:
                return
            if response.status != 200:
                self.outcome = await self._read_refusal(response)
                return
            async for run in self._read_lines(response):
                yield run
        finally:
            posting.cancel()
            if response is not None:
                response.close()

    async def _post(self) -> aiohttp.ClientResponse:
        body = engine_wire.generate_body(self._request, self._try_id, tuple(self._received))
        return await self._session.post(
            f"http://{self._record.address}/generate",
            json=body,
            headers=self._headers(),
            timeout=request_timeout(self._deadline - boot_now()),
            allow_redirects=False,
        )

    def _headers(self) -> dict[str, str]:
        return {
            "X-Request-Id": self._try_id,
            "X-Client-Account": self._request.client_account,
            "X-Correlation-Id": self._request.correlation_id,
        }

    def _response_of(self, posting: asyncio.Future) -> aiohttp.ClientResponse | None:
        try:
            return posting.result()
        except CONNECT_FAILURES:
            self.outcome = TryOutcome(Reason.ENDPOINT_FAILED, not_run=True)
        except (aiohttp.ClientError, OSError, TimeoutError):
            self.outcome = TryOutcome(Reason.ENDPOINT_FAILED)
        return None

    async def _read_refusal(self, response: aiohttp.ClientResponse) -> TryOutcome:
        if response.status not in REFUSED_STATUSES:
            return TryOutcome(Reason.ENDPOINT_FAILED)
        try:
            async with asyncio.timeout(self._silence_s):
                body = await read_body(response)
        except (aiohttp.ClientError, OSError, TimeoutError):
            return TryOutcome(Reason.ENDPOINT_FAILED)
        return TryOutcome(Reason.ENDPOINT_REFUSED, not_run=engine_wire.says_not_run(body))

    async def _read_lines(self, response: aiohttp.ClientResponse) -> AsyncIterator[TokenRun]:
        # An engine or a proxy in front of it may mix up responses; the echoed id shows to which
        # request a response belongs.
        if response.headers.get("X-Request-Id") != self._try_id:
            self.outcome = TryOutcome(Reason.MISMATCHED_ANSWER)
            return
        while self.outcome is None:
            reading = asyncio.ensure_future(response.content.readline())
            try:
                received = await self._wait_for(reading)
            finally:
                reading.cancel()
            if not received:
                return
            run = self._process_line(reading)
            if run is not None:
                yield run

    def _process_line(self, reading: asyncio.Future) -> TokenRun | None:
        try:
            data = reading.result()
        except (aiohttp.ClientError, OSError, ValueError, TimeoutError):
            data = b""
        line = engine_wire.parse_line(data)
        if line is None or line.error:
            # The connection ended or the engine reported an error before the end mark, so the
            # answer is incomplete.
            self.outcome = TryOutcome(Reason.ENDPOINT_FAILED)
            return None
        if line.request_id != self._try_id:
            self.outcome = TryOutcome(Reason.MISMATCHED_ANSWER)
            return None
        if line.done:
            complete = line.total == len(self._received)
            self.outcome = TryOutcome(None if complete else Reason.MISMATCHED_ANSWER)
            return None
        too_long = line.offset + len(line.tokens) > self._request.max_tokens
        if line.offset != len(self._received) or too_long:
            self.outcome = TryOutcome(Reason.MISMATCHED_ANSWER)
            return None
        self._received.extend(line.tokens)
        return TokenRun(
            self._request.request_id,
            line.offset,
            line.tokens,
            line.text,
            line.version,
            self._record.endpoint,
        )

    async def _wait_for(self, waiting: asyncio.Future) -> bool:
        """Wait until `waiting` is done; return False, with `outcome` set, if the try ends first."""
        while True:
            remaining_s = self._deadline - boot_now()
            if remaining_s <= 0:
                self.outcome = TryOutcome(Reason.TIMEOUT)
                return False
            done, _ = await asyncio.wait({waiting}, timeout=min(self._silence_s, remaining_s))
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
        Ask the engine over a new connection for the state of a request that gets no more data.

        A connection whose state a device in between has dropped never delivers data again, while
        new connections work, so that waiting longer on the silent connection would block the
        caller. The state that the engine reports over a new connection tells a dead connection (the
        engine has made more tokens than were received) from slow work.

        :return: the outcome if the try is over, or None to continue waiting.
        """
        state = await self.fetch_state()
        if waiting.done():
            return None
        if state is None or state.state == "unknown":
            return TryOutcome(Reason.ENDPOINT_SILENT)
        if state.state == "done" or state.offset > len(self._received):
            return TryOutcome(Reason.ENDPOINT_SILENT, same_engine=True)
        self._stalled_checks += 1
        if self._stalled_checks < MAX_STALLED_CHECKS:
            return None
        return TryOutcome(Reason.ENDPOINT_SILENT)

    async def fetch_state(self) -> engine_wire.RequestState | None:
        """
        Ask the engine for the state of this try.

        :return: the state, or None if no valid answer arrives within `silence_s`.
        """
        url = f"http://{self._record.address}/requests/{self._try_id}"
        try:
            async with asyncio.timeout(self._silence_s):
                async with self._session.get(url, allow_redirects=False) as response:
                    state = engine_wire.parse_state(await read_body(response))
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None
        if state is None or state.request_id != self._try_id:
            return None
        return state

    async def cancel_at_engine(self) -> None:
        """Cancel this try at the engine over a new connection."""
        url = f"http://{self._record.address}/requests/{self._try_id}/cancel"
        try:
            async with asyncio.timeout(CANCEL_TIMEOUT_S):
                async with self._session.post(url, allow_redirects=False) as response:
                    await read_body(response)
        except (aiohttp.ClientError, OSError, TimeoutError):
            # If the cancel request fails, the engine stops the work itself when its next write to
            # the closed connection fails.
            return


__all__ = ["EngineTry", "TryOutcome"]
