"""Who calls: the key, its client account, and what the rules allow it."""

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
    A caller whose key is good now.

    :param key: kept only to keep it from endpoints and to end its work when it is withdrawn.
    """

    client_account: str
    key: str


def identify(kernel: Kernel, request: falcon.asgi.Request) -> Caller | Refusal:
    """
    Find out whom a request runs for.

    The lease goes first: without one this entry doesn't know which keys were withdrawn meanwhile.

    :param kernel: the daemon's kernel.
    :param request: the request; its context gets the client account.
    :return: the caller, or why it is not served.
    """
    lease = kernel.find("lease")
    view = lease.view()
    if isinstance(view, Refusal):
        return view
    key = key_of(request)
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
    Let a caller's request in: its key is good, and its client account is within its rate.

    :param kernel: the daemon's kernel.
    :param request: the request; from here on it ends with its key.
    :return: the caller, or why it is not served.
    """
    caller = identify(kernel, request)
    if isinstance(caller, Refusal):
        return caller
    refused = kernel.find("admission").ask(caller.client_account)
    if refused is not None:
        return refused
    opened = kernel.find("http").open_work.enter(caller.key, caller.client_account)
    request.context.opened = opened
    return caller


def key_holds(kernel: Kernel, caller: Caller) -> bool:
    """
    Check that a caller's key still belongs to its client account.

    :param kernel: the daemon's kernel.
    :param caller: from `admit`, maybe some time ago.
    :return: False also while the lease is lapsed.
    """
    return kernel.find("lease").client_account_of(caller.key) == caller.client_account


def key_of(request: falcon.asgi.Request) -> str:
    """
    Read the key.

    :param request: the request.
    :return: the key; empty where there is none.
    """
    header = request.get_header("Authorization") or ""
    if header[: len(BEARER)].lower() != BEARER:
        return ""
    return header[len(BEARER) :].strip()


__all__ = ["Caller", "admit", "identify", "key_holds", "key_of"]
