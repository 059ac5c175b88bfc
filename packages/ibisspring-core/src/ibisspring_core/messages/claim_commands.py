"""Commands on claims of idempotency keys."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class ClaimKey:
    """
    Claim an idempotency key before a non-idempotent request is sent.

    :param client_account: the claiming client account.
    :param key: the caller's Idempotency-Key, unique within the account.
    :param digest: digest of method, path and body; another one under the same key is a conflict.
    :param request_id: id of the request under which the endpoint sees it.
    :param daemon: entry that claims.
    :param incarnation: start of that entry; a claim of an earlier incarnation is `may_have_run`.
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
    Settle a claim.

    :param outcome: `done` (answer stored), `not_run` (the claim is released) or `may_have_run`.
    :param status: HTTP status of the answer.
    :param answer: body of the answer; empty where it was too large to be stored.
    :param stored: whether `answer` is the whole answer.
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
    Result of `ClaimKey` and `SettleClaim`.

    :param state: `granted` (the proposer may send), `running`, `done`, `may_have_run`, `conflict`
        or `released`.
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
