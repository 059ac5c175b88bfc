"""Commands that claim idempotency keys of callers and settle the claims."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class ClaimKey:
    """
    Claim an idempotency key before a non-idempotent request is sent.

    :param client_account: account of the caller.
    :param key: the caller's Idempotency-Key, unique within the account.
    :param digest: digest of method, path and body; a different digest under the same key is a
        conflict.
    :param request_id: id of the request at the endpoint.
    :param daemon: id of the entry that makes the claim.
    :param incarnation: number of that entry's start; open claims of an earlier incarnation become
        `may_have_run`.
    """

    client_account: str
    key: str
    digest: str
    request_id: str
    daemon: str
    incarnation: int


@dataclass(frozen=True)
class SettleClaim:
    """
    Settle a claim: record the outcome of the request that it was made for.

    :param client_account: account of the caller.
    :param key: the caller's Idempotency-Key.
    :param request_id: id of the request in the claim.
    :param outcome: `done` (answer stored), `not_run` (the claim is released) or `may_have_run`.
    :param status: HTTP status of the answer.
    :param answer: body of the answer; empty if it was too large to be stored.
    :param content_type: Content-Type of the answer.
    :param stored: whether `answer` is the complete body.
    """

    client_account: str
    key: str
    request_id: str
    outcome: str
    status: int = 0
    answer: bytes = b""
    content_type: str = ""
    stored: bool = False


@dataclass(frozen=True)
class ClaimState:
    """
    Result of `ClaimKey` and `SettleClaim`: the state of the claim after the command.

    :param state: `granted` (the proposer may send the request), `running`, `done`, `may_have_run`,
        `conflict` or `released`.
    :param request_id: id of the request in the claim.
    :param daemon: id of the entry that made the claim.
    :param status: HTTP status of the stored answer.
    :param answer: body of the stored answer; empty if it was too large to be stored.
    :param content_type: Content-Type of the stored answer.
    :param stored: whether `answer` is the complete body.
    """

    state: str
    request_id: str
    daemon: str = ""
    status: int = 0
    answer: bytes = b""
    content_type: str = ""
    stored: bool = False


__all__ = [
    "ClaimKey",
    "ClaimState",
    "SettleClaim",
]
