"""
Claims of idempotency keys.

An entry claims the idempotency key of a caller's non-idempotent request before it sends the request
to an endpoint. A resend through any entry finds the claim and is not sent a second time.
"""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ibisspring_core.errors import Reason
from ibisspring_core.messages.commands import ClaimKey, ClaimState, Refused, SettleClaim

if TYPE_CHECKING:
    from ibisspring_control.state.moment import LogPosition

RUNNING = "running"
DONE = "done"
MAY_HAVE_RUN = "may_have_run"
NOT_RUN = "not_run"

# Seconds after the claim of a key until the claim is removed. A caller may resend a request with
# its key for one day, as is usual for idempotency keys.
CLAIM_RETENTION_S = 86_400.0
# Minimum age, in seconds, of a settled claim that is evicted when the table of MAX_CLAIMS claims is
# full. Younger claims are not evicted, because a resend of an evicted key would run a second time;
# new claims are refused instead.
MIN_CLAIM_RETENTION_S = 3_600.0
MAX_CLAIMS = 100_000
# Number of daemons with a known incarnation above which those without a claim are removed: many
# times the number of daemons in a large system. Without this limit, the names of daily replaced VMs
# would accumulate over years.
MAX_DAEMONS = 5_000
# Seconds after which a claim that is still `running` counts as `may_have_run`. This is longer than
# any request may take, so the entry that holds the claim no longer runs the request.
RUNNING_LIMIT_S = 600.0
# A larger answer is not stored. Above MAX_ALL_ANSWERS_BYTES in total, the oldest ones are evicted.
MAX_ANSWER_BYTES = 65_536
MAX_ALL_ANSWERS_BYTES = 8_388_608
TABLE_FULL_DETAIL = "the table of idempotency keys is full; the request was not sent"


@dataclass(frozen=True)
class Claim:
    """
    One claimed idempotency key.

    :param key: idempotency key that the caller sent.
    :param digest: digest of the request; the same key with another digest is a conflict.
    :param request_id: id of the request that holds the claim.
    :param daemon: id of the entry that runs the request.
    :param index: log index of the claim.
    :param stamped_s: wall-clock seconds at which the key was claimed.
    :param state: `running`, `done` or `may_have_run`.
    :param status: HTTP status of the endpoint's answer; 0 while there is no answer.
    :param answer: body of the endpoint's answer; empty if the body is not stored, because it was
        too large or was evicted.
    :param stored: whether `answer` is the complete body.
    """

    client_account: str
    key: str
    digest: str
    request_id: str
    daemon: str
    incarnation: int
    index: int
    stamped_s: float
    state: str = RUNNING
    status: int = 0
    answer: bytes = b""
    content_type: str = ""
    stored: bool = False


@dataclass(frozen=True)
class ClaimsSnapshot:
    """All claims, sorted by log index, and the newest known incarnation of each daemon."""

    claims: tuple[Claim, ...] = ()
    incarnation_by_daemon: dict[str, int] = dataclasses.field(default_factory=dict)


class Claims:
    """Claims by client account and idempotency key, sorted by log index."""

    def __init__(self, snapshot: ClaimsSnapshot) -> None:
        self.claim_by_key = {(claim.client_account, claim.key): claim for claim in snapshot.claims}
        self.incarnation_by_daemon = dict(snapshot.incarnation_by_daemon)
        self.answer_bytes = sum(len(claim.answer) for claim in snapshot.claims)

    def snapshot(self) -> ClaimsSnapshot:
        """Return all claims, sorted by log index, so that all replicas agree."""
        return ClaimsSnapshot(tuple(self.claim_by_key.values()), dict(self.incarnation_by_daemon))

    def record_start(self, daemon: str, incarnation: int) -> None:
        """Record a daemon's start; requests that its earlier starts left running may have run."""
        newest = max(incarnation, self.incarnation_by_daemon.get(daemon, 0))
        self.incarnation_by_daemon[daemon] = newest
        if len(self.incarnation_by_daemon) > MAX_DAEMONS:
            self._remove_unused_daemons(daemon)

    def _remove_unused_daemons(self, daemon: str) -> None:
        """Remove the daemons that no claim refers to; the result does not depend on dict order."""
        needed = {claim.daemon for claim in self.claim_by_key.values()} | {daemon}
        starts = self.incarnation_by_daemon
        self.incarnation_by_daemon = {name: starts[name] for name in sorted(needed & set(starts))}

    def claim(self, command: ClaimKey, position: LogPosition) -> ClaimState | Refused:
        """Claim an idempotency key for a request, or return the state of its existing claim."""
        self.record_start(command.daemon, command.incarnation)
        self._remove_expired(position)
        if command.incarnation < self.incarnation_by_daemon[command.daemon]:
            return Refused(Reason.CONFLICT.value, "this daemon has since been restarted")
        claim_key = (command.client_account, command.key)
        claim = self.claim_by_key.get(claim_key)
        if claim is not None:
            return self._existing_claim_state(claim, command, position)
        if len(self.claim_by_key) >= MAX_CLAIMS and not self._evict_oldest_settled(position):
            return Refused(Reason.QUEUE_FULL.value, TABLE_FULL_DETAIL)
        self.claim_by_key[claim_key] = Claim(
            command.client_account,
            command.key,
            command.digest,
            command.request_id,
            command.daemon,
            command.incarnation,
            position.index,
            position.stamped_s,
        )
        return ClaimState("granted", command.request_id, command.daemon)

    def settle(self, command: SettleClaim) -> ClaimState:
        """Record how the claimed request ended, and return the resulting state of the claim."""
        claim_key = (command.client_account, command.key)
        claim = self.claim_by_key.get(claim_key)
        if claim is None:
            return ClaimState("released", command.request_id)
        # Only the request that holds the claim may settle the claim. A stored answer is never
        # replaced, because callers may have received it.
        if claim.request_id != command.request_id or claim.state == DONE:
            return self._with_state(claim, claim.state)
        if command.outcome == NOT_RUN:
            del self.claim_by_key[claim_key]
            return ClaimState("released", command.request_id, claim.daemon)
        settled = self._settled(claim, command)
        self.claim_by_key[claim_key] = settled
        self._evict_answers()
        return self._with_state(settled, settled.state)

    def _settled(self, claim: Claim, command: SettleClaim) -> Claim:
        if command.outcome != DONE:
            return dataclasses.replace(claim, state=MAY_HAVE_RUN)
        fits = command.stored and len(command.answer) <= MAX_ANSWER_BYTES
        answer = command.answer if fits else b""
        self.answer_bytes += len(answer)
        return dataclasses.replace(
            claim,
            state=DONE,
            status=command.status,
            answer=answer,
            content_type=command.content_type,
            stored=fits,
        )

    def _existing_claim_state(
        self, claim: Claim, command: ClaimKey, position: LogPosition
    ) -> ClaimState:
        if claim.digest != command.digest:
            return self._with_state(claim, "conflict")
        if claim.state != RUNNING:
            return self._with_state(claim, claim.state)
        owner = (claim.request_id, claim.daemon, claim.incarnation)
        if owner == (command.request_id, command.daemon, command.incarnation):
            return ClaimState("granted", claim.request_id, claim.daemon)
        # The claim was committed before the first byte of the request was sent. If the entry that
        # holds the claim has restarted since, or the claim is older than any request may take, it
        # is unknown whether the request ran.
        restarted = claim.incarnation < self.incarnation_by_daemon.get(claim.daemon, 0)
        if restarted or position.stamped_s - claim.stamped_s > RUNNING_LIMIT_S:
            return self._with_state(claim, MAY_HAVE_RUN)
        return self._with_state(claim, RUNNING)

    def _with_state(self, claim: Claim, state: str) -> ClaimState:
        return ClaimState(
            state,
            claim.request_id,
            claim.daemon,
            claim.status,
            claim.answer,
            claim.content_type,
            claim.stored,
        )

    def _remove_expired(self, position: LogPosition) -> None:
        while self.claim_by_key:
            claim_key, claim = next(iter(self.claim_by_key.items()))
            if position.stamped_s - claim.stamped_s <= CLAIM_RETENTION_S:
                return
            self._remove(claim_key)

    def _evict_oldest_settled(self, position: LogPosition) -> bool:
        claim_key, claim = next(iter(self.claim_by_key.items()))
        if claim.state == RUNNING or position.stamped_s - claim.stamped_s <= MIN_CLAIM_RETENTION_S:
            return False
        self._remove(claim_key)
        return True

    def _remove(self, claim_key: tuple[str, str]) -> None:
        self.answer_bytes -= len(self.claim_by_key.pop(claim_key).answer)

    def _evict_answers(self) -> None:
        """Evict the oldest stored answers above MAX_ALL_ANSWERS_BYTES; their claims stay `done`."""
        if self.answer_bytes <= MAX_ALL_ANSWERS_BYTES:
            return
        for claim_key, claim in self.claim_by_key.items():
            if not claim.answer:
                continue
            self.answer_bytes -= len(claim.answer)
            self.claim_by_key[claim_key] = dataclasses.replace(claim, answer=b"", stored=False)
            if self.answer_bytes <= MAX_ALL_ANSWERS_BYTES:
                return


__all__ = ["Claim", "Claims", "ClaimsSnapshot"]
