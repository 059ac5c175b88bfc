"""Claims of idempotency keys: a non-idempotent request is sent by whoever holds its claim."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ibisspring_core.errors import Reason
from ibisspring_core.messages.commands import ClaimKey, ClaimState, Refused, SettleClaim

if TYPE_CHECKING:
    from ibisspring_control.state.moment import Moment

RUNNING = "running"
DONE = "done"
MAY_HAVE_RUN = "may_have_run"
NOT_RUN = "not_run"

# A caller may send a key again for a day, as is usual for idempotency keys.
KEEP_S = 86_400.0
# When the table is full, settled claims older than this make room; younger ones never do, because
# a resend of a forgotten key would run a second time. New claims are refused instead.
KEEP_AT_LEAST_S = 3_600.0
MAX_CLAIMS = 100_000
# Many times the daemons of a large system; with VMs replaced daily their names add up over years.
MAX_DAEMONS = 5_000
# Longer than any request may take: the entry that held the claim is gone for good.
RUNNING_LIMIT_S = 600.0
MAX_ANSWER_BYTES = 65_536
MAX_ALL_ANSWERS_BYTES = 8_388_608
FULL_RETRY_DETAIL = "too many idempotency keys are held; nothing was sent"


@dataclass(frozen=True)
class Claim:
    """
    One claimed key.

    :param index: log index of the claim.
    :param stamped_s: when it was claimed.
    :param state: `running`, `done` or `may_have_run`.
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
    """All claims in order of their index."""

    claims: tuple[Claim, ...] = ()
    incarnation_by_daemon: dict[str, int] = dataclasses.field(default_factory=dict)


class Claims:
    """Claims by client account and key, oldest index first."""

    def __init__(self, snapshot: ClaimsSnapshot) -> None:
        self.claim_by_key = {(claim.client_account, claim.key): claim for claim in snapshot.claims}
        self.incarnation_by_daemon = dict(snapshot.incarnation_by_daemon)
        self.answer_bytes = sum(len(claim.answer) for claim in snapshot.claims)

    def snapshot(self) -> ClaimsSnapshot:
        """Everything, in an order that all replicas share."""
        return ClaimsSnapshot(tuple(self.claim_by_key.values()), dict(self.incarnation_by_daemon))

    def see(self, daemon: str, incarnation: int) -> None:
        """Note that a daemon started again: what its earlier start left running may have run."""
        newest = max(incarnation, self.incarnation_by_daemon.get(daemon, 0))
        self.incarnation_by_daemon[daemon] = newest
        if len(self.incarnation_by_daemon) > MAX_DAEMONS:
            self._forget_daemons(daemon)

    def _forget_daemons(self, daemon: str) -> None:
        """Keep the starts that a claim is judged by, whatever the order of the table."""
        needed = {claim.daemon for claim in self.claim_by_key.values()} | {daemon}
        starts = self.incarnation_by_daemon
        self.incarnation_by_daemon = {name: starts[name] for name in sorted(needed & set(starts))}

    def claim(self, command: ClaimKey, moment: Moment) -> ClaimState | Refused:
        """Grant a free key; otherwise tell what became of it."""
        self.see(command.daemon, command.incarnation)
        self._forget_old(moment)
        if command.incarnation < self.incarnation_by_daemon[command.daemon]:
            return Refused(Reason.CONFLICT.value, "this daemon has been started again since")
        place = (command.client_account, command.key)
        claim = self.claim_by_key.get(place)
        if claim is not None:
            return self._answer(claim, command, moment)
        if len(self.claim_by_key) >= MAX_CLAIMS and not self._make_room(moment):
            return Refused(Reason.QUEUE_FULL.value, FULL_RETRY_DETAIL)
        self.claim_by_key[place] = Claim(
            command.client_account,
            command.key,
            command.digest,
            command.request_id,
            command.daemon,
            command.incarnation,
            moment.index,
            moment.stamped_s,
        )
        return ClaimState("granted", command.request_id, command.daemon)

    def settle(self, command: SettleClaim) -> ClaimState:
        """Record how the claimed request ended."""
        place = (command.client_account, command.key)
        claim = self.claim_by_key.get(place)
        if claim is None:
            return ClaimState("released", command.request_id)
        # Only the request that holds the claim may settle it, and an answer that was stored stays:
        # callers may have been given it.
        if claim.request_id != command.request_id or claim.state == DONE:
            return self._state_of(claim, claim.state)
        if command.outcome == NOT_RUN:
            del self.claim_by_key[place]
            return ClaimState("released", command.request_id, claim.daemon)
        settled = self._settled(claim, command)
        self.claim_by_key[place] = settled
        self._bound_answers()
        return self._state_of(settled, settled.state)

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

    def _answer(self, claim: Claim, command: ClaimKey, moment: Moment) -> ClaimState:
        if claim.digest != command.digest:
            return self._state_of(claim, "conflict")
        if claim.state != RUNNING:
            return self._state_of(claim, claim.state)
        owner = (claim.request_id, claim.daemon, claim.incarnation)
        if owner == (command.request_id, command.daemon, command.incarnation):
            return ClaimState("granted", claim.request_id, claim.daemon)
        # The claim was committed before the first byte was sent. When its entry has started again
        # since, or is silent past any request's time, nobody knows whether the request ran.
        restarted = claim.incarnation < self.incarnation_by_daemon.get(claim.daemon, 0)
        if restarted or moment.stamped_s - claim.stamped_s > RUNNING_LIMIT_S:
            return self._state_of(claim, MAY_HAVE_RUN)
        return self._state_of(claim, RUNNING)

    def _state_of(self, claim: Claim, state: str) -> ClaimState:
        return ClaimState(
            state,
            claim.request_id,
            claim.daemon,
            claim.status,
            claim.answer,
            claim.content_type,
            claim.stored,
        )

    def _forget_old(self, moment: Moment) -> None:
        while self.claim_by_key:
            place, claim = next(iter(self.claim_by_key.items()))
            if moment.stamped_s - claim.stamped_s <= KEEP_S:
                return
            self._forget(place)

    def _make_room(self, moment: Moment) -> bool:
        place, claim = next(iter(self.claim_by_key.items()))
        if claim.state == RUNNING or moment.stamped_s - claim.stamped_s <= KEEP_AT_LEAST_S:
            return False
        self._forget(place)
        return True

    def _forget(self, place: tuple[str, str]) -> None:
        self.answer_bytes -= len(self.claim_by_key.pop(place).answer)

    def _bound_answers(self) -> None:
        """Drop the oldest stored answers past the bound; their claims stay `done`."""
        if self.answer_bytes <= MAX_ALL_ANSWERS_BYTES:
            return
        for place, claim in self.claim_by_key.items():
            if not claim.answer:
                continue
            self.answer_bytes -= len(claim.answer)
            self.claim_by_key[place] = dataclasses.replace(claim, answer=b"", stored=False)
            if self.answer_bytes <= MAX_ALL_ANSWERS_BYTES:
                return


__all__ = ["Claim", "Claims", "ClaimsSnapshot"]
