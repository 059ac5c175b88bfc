"""The service `claims`: runs each call under an Idempotency-Key at most once."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec
import xxhash

from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.messages.commands import ClaimKey, ClaimState, Refused, SettleClaim
from ibisspring_entry.proxy.messages import CompleteAnswer, PlainRequest

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.settings import Settings

MAX_KEY_LENGTH = 200
"""Largest number of characters of an Idempotency-Key."""

MAX_STORED_BYTES = 65_536
"""Largest answer body, in bytes, that is stored in the replicated state for later requests."""

IN_PROGRESS_RETRY_S = 1.0
"""Seconds after which a caller should retry a call that is in progress or could not be claimed."""

SETTLE_WAIT_S = 0.5
"""Seconds that a caller's answer is delayed at most until its claim is settled."""

# Largest number of attempts to settle a claim; with the pauses, they take 10 s or more.
SETTLE_TRIES = 20
SETTLE_PAUSE_S = 0.5
"""Seconds between two attempts to settle a claim."""

ResultT = TypeVar("ResultT")
SendCall = Callable[[], Awaitable[CompleteAnswer | Refusal]]


@dataclass(frozen=True)
class KeyedCall:
    """
    A call under a caller's Idempotency-Key.

    :param digest: digest of the call's content; a call with the same key but another digest is
        rejected.
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
        Build a call with the digest of its content.

        :param client_account: the client account of the caller.
        :param key: the caller's Idempotency-Key.
        :param request_id: the id of this request, which identifies the claim.
        :param parts: the call's content; two calls with equal parts count as the same call.
        """
        digest = xxhash.xxh3_128_hexdigest(msgspec.msgpack.encode(parts))
        return cls(client_account, key, digest, request_id)


class Claims:
    """Sends each call under an Idempotency-Key at most once, over all entries together."""

    name = "claims"

    def __init__(self, daemon: str, drain_s: float) -> None:
        self._daemon = daemon
        self._drain_s = drain_s
        self._tasks: set[asyncio.Task[Any]] = set()

    @classmethod
    def from_config(cls, settings: Settings) -> Claims:
        """
        Build the service from the daemon's settings.

        :param settings: validated settings of a daemon with the entry role.
        """
        return cls(settings.daemon, settings.entry.drain_s)

    async def start(self, kernel: Kernel) -> None:
        """
        Look up the services that claim keys and send calls.

        :param kernel: registry in which the daemon's services find each other.
        """
        self._endpoints = kernel.find("endpoints")
        self._control = kernel.find("control_client")
        self._lease = kernel.find("lease")
        self._counters = kernel.find("counters")

    async def stop(self) -> None:
        """
        Wait until all claimed calls are answered and their claims are settled.

        The wait ends after `drain_s`, the limit for running requests at a stop.
        """
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=self._drain_s)

    async def call(self, request: PlainRequest, key: str) -> CompleteAnswer | Refusal:
        """
        Call a plain service under the caller's key.

        :param request: the call.
        :param key: the caller's Idempotency-Key.
        :return: the endpoint's answer or the stored answer of an earlier call under the same key,
            else a refusal.
        """
        parts = (request.service, request.method, request.path, request.body)
        keyed = KeyedCall.from_parts(request.client_account, key, request.request_id, parts)
        return await self.run_once(keyed, lambda: self._endpoints.call(request))

    async def run_once(self, call: KeyedCall, send: SendCall) -> CompleteAnswer | Refusal:
        """
        Claim the key, send the call and settle the claim.

        :param call: the call whose key is claimed.
        :param send: sends the call; invoked at most once, and only after the claim is committed.
        :return: the answer, which may be the stored one of an earlier call, or a refusal.
        """
        if not 0 < len(call.key) <= MAX_KEY_LENGTH:
            detail = f"Idempotency-Key must have 1 to {MAX_KEY_LENGTH} characters"
            return Refusal(Reason.BAD_REQUEST, True, None, detail)
        # Claiming, sending and settling continue if the caller disconnects. If they were cancelled
        # halfway, the claim would stay "running" although it is unknown whether the call ran.
        return await asyncio.shield(self._track(self._claim_and_run(call, send)))

    async def _claim_and_run(self, call: KeyedCall, send: SendCall) -> CompleteAnswer | Refusal:
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
            # The claim may be committed although its proposal failed. It is released: otherwise the
            # caller's retries would be rejected for minutes as "in progress" although the call was
            # never sent.
            self._track(self._settle(settlement_of(claim, refusal_without_claim(state))))
        if not isinstance(state, ClaimState):
            return refusal_without_claim(state)
        if state.state != "granted":
            return answer_of_earlier_call(call, state)
        return await self._run_claimed(claim, send)

    def _track(self, work: Coroutine[Any, Any, ResultT]) -> asyncio.Task[ResultT]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _run_claimed(self, claim: ClaimKey, send: SendCall) -> CompleteAnswer | Refusal:
        answer = await send()
        settling = self._track(self._settle(settlement_of(claim, answer)))
        # While the control group has no leader, the claim cannot be settled. The caller gets its
        # answer without waiting for a leader; until the answer is stored, another request under the
        # key is rejected as "in progress".
        await asyncio.wait({settling}, timeout=SETTLE_WAIT_S)
        return answer

    async def _settle(self, settlement: SettleClaim) -> None:
        """Propose the settlement until it is committed; only the first commit takes effect."""
        for _ in range(SETTLE_TRIES):
            request_id = f"settle-{settlement.request_id}"
            if not isinstance(await self._control.propose(settlement, request_id), Refusal):
                return
            await asyncio.sleep(SETTLE_PAUSE_S)
        self._counters.add("claim_not_settled")


def settlement_of(claim: ClaimKey, answer: CompleteAnswer | Refusal) -> SettleClaim:
    """
    Build the command that settles a claim with the result of its call.

    :param claim: the claim that was granted for the call.
    :param answer: the result of the call.
    :return: the command; contains the answer's body if it has at most `MAX_STORED_BYTES`.
    """
    claim_id = (claim.client_account, claim.key, claim.request_id)
    if isinstance(answer, Refusal):
        outcome = "not_run" if answer.not_run else "may_have_run"
        return SettleClaim(*claim_id, outcome)
    stored = len(answer.body) <= MAX_STORED_BYTES
    content_type = dict(answer.headers).get("content-type", "")
    body = answer.body if stored else b""
    return SettleClaim(*claim_id, "done", answer.status, body, content_type, stored)


def refusal_without_claim(result: Refused | Refusal) -> Refusal:
    """
    Build the refusal of a call whose claim was not granted; the call was not sent.

    :param result: the control leader's rejection, or the failure of the proposal.
    :return: the refusal, with `not_run` set and seconds after which to retry.
    """
    if isinstance(result, Refused):
        return Refusal(Reason(result.reason), True, IN_PROGRESS_RETRY_S, result.detail)
    retry_after_s = result.retry_after_s or IN_PROGRESS_RETRY_S
    return Refusal(result.reason, True, retry_after_s, result.detail)


def answer_of_earlier_call(call: KeyedCall, state: ClaimState) -> CompleteAnswer | Refusal:
    """
    Answer a call whose key was already claimed by an earlier call.

    :param call: the new call under the same key.
    :param state: the state of the earlier call's claim.
    :return: the stored answer of the earlier call, or a refusal that says why there is none.
    """
    if state.state == "running":
        detail = "the first call under this Idempotency-Key is still running"
        return Refusal(Reason.IN_PROGRESS, False, IN_PROGRESS_RETRY_S, detail)
    if state.state == "conflict":
        detail = "this Idempotency-Key was used for another call"
        return Refusal(Reason.CONFLICT, True, None, detail)
    if state.state == "done" and state.stored:
        headers = (("content-type", state.content_type),) if state.content_type else ()
        return CompleteAnswer(call.request_id, state.status, state.answer, headers, replayed=True)
    if state.state == "done":
        detail = f"the first call ran (status {state.status}); its answer was too large to store"
        return Refusal(Reason.CONFLICT, False, None, detail)
    return Refusal(Reason.MAY_HAVE_RUN, False, None, "the first call under this key may have run")


__all__ = [
    "Claims",
    "KeyedCall",
    "answer_of_earlier_call",
    "settlement_of",
    "refusal_without_claim",
]
