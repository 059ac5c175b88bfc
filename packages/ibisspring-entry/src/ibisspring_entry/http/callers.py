"""Identifies and admits callers: API key, client account and rate limit."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ibisspring_core.errors import Reason, Refusal

if TYPE_CHECKING:
    import falcon.asgi

    from ibisspring_core.kernel import Kernel

BEARER = "bearer "


@dataclass(frozen=True)
class Caller:
    """
    A caller whose API key was valid when its request was identified.

    :param key: the API key; used only to remove it from requests to endpoints and to cancel the
        caller's requests when the key is withdrawn.
    """

    client_account: str
    key: str


def identify(kernel: Kernel, request: falcon.asgi.Request) -> Caller | Refusal:
    """
    Identify the client account of a request.

    The lease is checked first: without a valid lease, this entry does not know which keys have been
    withdrawn.

    :param kernel: registry in which the daemon's services find each other.
    :param request: the request to identify; its context receives the client account.
    :return: the caller with its client account, or a refusal.
    """
    lease = kernel.find("lease")
    view = lease.view()
    if isinstance(view, Refusal):
        return view
    key = bearer_key(request)
    if not key:
        detail = "send the header `Authorization: Bearer KEY`"
        return Refusal(Reason.UNKNOWN_KEY, True, None, detail)
    client_account = lease.client_account_of(key)
    if isinstance(client_account, Refusal):
        return client_account
    if client_account is None:
        return Refusal(Reason.UNKNOWN_KEY, True, None, "no client account holds this key")
    request.context.client_account = client_account
    return Caller(client_account, key)


def admit(kernel: Kernel, request: falcon.asgi.Request) -> Caller | Refusal:
    """
    Admit a request if its key is valid and its client account is within its rate limit.

    :param kernel: registry in which the daemon's services find each other.
    :param request: the request to admit; once admitted, it is cancelled if its key is withdrawn.
    :return: the caller with its client account, or a refusal.
    """
    caller = identify(kernel, request)
    if isinstance(caller, Refusal):
        return caller
    refusal = kernel.find("admission").admit(caller.client_account)
    if refusal is not None:
        return refusal
    open_request = kernel.find("http").open_work.register(caller.key, caller.client_account)
    request.context.open_request = open_request
    return caller


def is_key_valid(kernel: Kernel, caller: Caller) -> bool:
    """
    Return whether a caller's key still belongs to its client account.

    :param kernel: registry in which the daemon's services find each other.
    :param caller: a caller that `admit` returned earlier.
    :return: False if the key was withdrawn or given to another account, and while the lease is
        lapsed.
    """
    return kernel.find("lease").client_account_of(caller.key) == caller.client_account


def bearer_key(request: falcon.asgi.Request) -> str:
    """
    Return the API key of a request's `Authorization: Bearer` header.

    :return: the key; empty if the header is missing or has another scheme.
    """
    header = request.get_header("Authorization") or ""
    if header[: len(BEARER)].lower() != BEARER:
        return ""
    return header[len(BEARER) :].strip()


__all__ = ["Caller", "admit", "bearer_key", "identify", "is_key_valid"]
