"""The service `claims`."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec
import xxhash

from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.messages.commands import ClaimKey, ClaimState, Refused, SettleClaim
from ibisspring_entry.proxy.messages import PlainAnswer, PlainRequest

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.settings import Settings

MAX_KEY = 200
STORED_BYTES = 65_536
"""Largest answer that is stored in the replicated state."""

IN_PROGRESS_RETRY_S = 1.0
SETTLE_WAIT_S = 0.5
SETTLE_TRIES = 20
SETTLE_PAUSE_S = 0.5

ResultT = TypeVar("ResultT")
Run = Callable[[], Awaitable[PlainAnswer | Refusal]]


@dataclass(frozen=True)
class KeyedCall:
    """
    A call under a caller's Idempotency-Key.

    :param digest: digest of what is asked, so that a key used for something else is refused.
    """

    client_account: str
    key: str
    digest: str
    request_id: str

    @classmethod
    def from_parts(
        cls, client_account: str, key: str, request_id: str, parts: tuple[str | bytes, ...]
    ) -> KeyedCall:
        """
        Build a call.

        :param parts: what is asked; two calls are the same where these are.
        :return: the call.
        """
        digest = xxhash.xxh3_128_hexdigest(msgspec.msgpack.encode(parts))
        return cls(client_account, key, digest, request_id)


class Claims:
    """Sends each call under an idempotency key once at most, whichever entry the caller asks."""

    name = "claims"

    def __init__(self, daemon: str, drain_s: float) -> None:
        self._daemon = daemon
        self._drain_s = drain_s
        self._running: set[asyncio.Task[Any]] = set()

    @classmethod
    def from_config(cls, settings: Settings) -> Claims:
        """
        Build the service.

        :param settings: this daemon's settings.
        :return: the service.
        """
        return cls(settings.daemon, settings.entry.drain_s)

    async def start(self, kernel: Kernel) -> None:
        """Find the services that it needs."""
        self._endpoints = kernel.find("endpoints")
        self._control = kernel.find("control_client")
        self._lease = kernel.find("lease")
        self._counters = kernel.find("counters")

    async def stop(self) -> None:
        """Let what was sent be settled, as long as running requests get at a stop."""
        if self._running:
            await asyncio.wait(self._running, timeout=self._drain_s)

    async def call(self, request: PlainRequest, key: str) -> PlainAnswer | Refusal:
        """
        Send a call of a plain service under the caller's key.

        :param request: the call.
        :param key: the caller's Idempotency-Key.
        :return: the answer, also when an earlier call under the key got it, or a refusal.
        """
        parts = (request.service, request.method, request.path, request.body)
        keyed = KeyedCall.from_parts(request.client_account, key, request.request_id, parts)
        return await self.run_once(keyed, lambda: self._endpoints.call(request))

    async def run_once(self, call: KeyedCall, run: Run) -> PlainAnswer | Refusal:
        """
        Claim the key, run, settle.

        :param call: what is claimed.
        :param run: sends the request; called once at most, and only with the claim committed.
        :return: the answer or a refusal.
        """
        if not 0 < len(call.key) <= MAX_KEY:
            detail = f"Idempotency-Key must have 1 to {MAX_KEY} characters"
            return Refusal(Reason.BAD_REQUEST, True, None, detail)
        # The caller may leave at any moment; what it began is claimed, sent and settled all the
        # same, or the claim would stay "running" for a call of which nobody knows whether it ran.
        return await asyncio.shield(self._keep(self._claim_and_run(call, run)))

    async def _claim_and_run(self, call: KeyedCall, run: Run) -> PlainAnswer | Refusal:
        claim = ClaimKey(
            client_account=call.client_account,
            key=call.key,
            digest=call.digest,
            request_id=call.request_id,
            daemon=self._daemon,
            incarnation=self._lease.incarnation,
        )
        state = await self._control.propose(claim, f"claim-{call.request_id}")
        if isinstance(state, Refusal) and not state.not_run:
            # The claim may be committed all the same: it is released, or the caller's next try
            # would be told for minutes that a call runs which never was sent.
            self._keep(self._settle(settlement_of(claim, unclaimed(state))))
        if not isinstance(state, ClaimState):
            return unclaimed(state)
        if state.state != "granted":
            return answer_of(call, state)
        return await self._run_claimed(claim, run)

    def _keep(self, work: Coroutine[Any, Any, ResultT]) -> asyncio.Task[ResultT]:
        task = asyncio.create_task(work)
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        return task

    async def _run_claimed(self, claim: ClaimKey, run: Run) -> PlainAnswer | Refusal:
        answer = await run()
        settling = self._keep(self._settle(settlement_of(claim, answer)))
        # While control has no leader the caller need not wait for it: the answer is its own, and
        # until it is stored another try under the key is told that the call runs.
        await asyncio.wait({settling}, timeout=SETTLE_WAIT_S)
        return answer

    async def _settle(self, settlement: SettleClaim) -> None:
        """Propose until it is committed: it is safe to resend, only the first counts."""
        for _ in range(SETTLE_TRIES):
            request_id = f"settle-{settlement.request_id}"
            if not isinstance(await self._control.propose(settlement, request_id), Refusal):
                return
            await asyncio.sleep(SETTLE_PAUSE_S)
        self._counters.add("claim_not_settled")


def settlement_of(claim: ClaimKey, answer: PlainAnswer | Refusal) -> SettleClaim:
    """
    Decide how a claim ends.

    :param claim: the claim.
    :param answer: what came of it.
    :return: the command.
    """
    place = (claim.client_account, claim.key, claim.request_id)
    if isinstance(answer, Refusal):
        outcome = "not_run" if answer.not_run else "may_have_run"
        return SettleClaim(*place, outcome)
    stored = len(answer.body) <= STORED_BYTES
    content_type = dict(answer.headers).get("content-type", "")
    body = answer.body if stored else b""
    return SettleClaim(*place, "done", answer.status, body, content_type, stored)


def unclaimed(result: Refused | Refusal) -> Refusal:
    """
    Refuse a call whose claim was not committed; nothing was sent.

    :param result: why it was not.
    :return: the refusal, not run.
    """
    if isinstance(result, Refused):
        return Refusal(Reason(result.reason), True, IN_PROGRESS_RETRY_S, result.detail)
    retry_after_s = result.retry_after_s or IN_PROGRESS_RETRY_S
    return Refusal(result.reason, True, retry_after_s, result.detail)


def answer_of(call: KeyedCall, state: ClaimState) -> PlainAnswer | Refusal:
    """
    Answer a call whose key was claimed before.

    :param call: the call.
    :param state: what became of the earlier one.
    :return: its stored answer, or why there is none.
    """
    if state.state == "running":
        detail = "the first call under this Idempotency-Key still runs"
        return Refusal(Reason.IN_PROGRESS, False, IN_PROGRESS_RETRY_S, detail)
    if state.state == "conflict":
        detail = "this Idempotency-Key was used for another call"
        return Refusal(Reason.CONFLICT, True, None, detail)
    if state.state == "done" and state.stored:
        headers = (("content-type", state.content_type),) if state.content_type else ()
        return PlainAnswer(call.request_id, state.status, state.answer, headers, replayed=True)
    if state.state == "done":
        detail = f"the first call ran (status {state.status}); its answer was too large to store"
        return Refusal(Reason.CONFLICT, False, None, detail)
    return Refusal(Reason.MAY_HAVE_RUN, False, None, "the first call may have run")


__all__ = ["Claims", "KeyedCall", "answer_of", "settlement_of", "unclaimed"]
