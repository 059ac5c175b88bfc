"""
Weighted fair shares of engine time between client accounts.

Load pattern: several client accounts submit jobs to one service, together more than its engines
can run in time, and one account asks for most of the time.

This module holds the types that the jobs' leader, the log and the operators' commands share.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclass(frozen=True)
class AccountUsage:
    """
    Engine time that a client account has used at a service, as it is kept in the log.

    :param service: name of the service.
    :param client_account: name of the client account.
    :param used_s: slot-seconds used, decayed until `at_s`.
    :param at_s: wall-clock time of `used_s`, in seconds since 1970.
    """

    service: str
    client_account: str
    used_s: float
    at_s: float


class ShareLedger(Protocol):
    """The engine time that each client account has used at one service, with decay."""

    def charge(self, client_account: str, slot_s: float, now: float) -> None:
        """Add slot-seconds that an account's runs have used."""
        ...

    def used_s(self, client_account: str, now: float) -> float:
        """Return an account's decayed slot-seconds."""
        ...

    def owed_s(self, client_account: str, active: Iterable[str], now: float) -> float:
        """
        Return the slot-seconds by which an account is below its share.

        :param active: accounts with open items, over which the time is divided by weight.
        :return: negative for an account that has used more than its share, which the others lent.
        """
        ...


__all__ = ["AccountUsage", "ShareLedger"]
