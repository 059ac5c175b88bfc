"""
Who sends a request, and whether the sender may use a route.

These are two questions: a route that is open to callers without a key still runs the requests of an
account, if one sends its key, for this account.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ibisspring_core.routes.index import RouteIndex
    from ibisspring_core.routes.model import ClientAccount


@dataclass(frozen=True)
class Caller:
    """
    The sender of a request.

    :param account: the client account that the key belongs to; None without a key.
    :param has_unknown_key: whether a key was sent that belongs to no account.
    """

    account: ClientAccount | None
    has_unknown_key: bool = False

    @property
    def account_name(self) -> str:
        """Name of the client account; empty without one."""
        return self.account.name if self.account is not None else ""


def identify(index: RouteIndex, key: str) -> Caller:
    """
    Find the sender of a request.

    :param index: the route table in force.
    :param key: the key as the caller sent it; empty for none.
    """
    if not key or not index.needs_keys:
        return Caller(None)
    account = index.account(key)
    return Caller(account, has_unknown_key=account is None)


def may_use(index: RouteIndex, caller: Caller, public: bool) -> bool:
    """
    Whether a caller may use a route.

    An unknown key is refused on public routes too: its owner means to act for an account.

    :param index: the route table in force.
    :param public: whether the route is open to callers without a key.
    """
    if not index.needs_keys:
        return True
    if caller.has_unknown_key:
        return False
    return public or caller.account is not None


__all__ = ["Caller", "identify", "may_use"]
