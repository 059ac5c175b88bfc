"""
Weighted fair shares of engine time between client accounts.

Load pattern: several client accounts submit jobs to one service, together more than its engines
can run in time, and one account asks for most of the time. Without shares, earliest deadline first
gives the time to whoever asks for most of it, or with the shortest due times.

Each account is charged the slot-seconds of its runs. The charges decay, so an account pays back
within some half-lives what it was lent while others were idle. Nothing is withheld: shares only
decide which groups leave the first tier and which come first while not all can be in time.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

# Seconds after which a charge counts half: a few training steps.
HALF_LIFE_S = 15.0
# Part of its share below which an account is served before all others, whatever their priority.
FLOOR_PART = 0.2
# Slot-seconds below which an account's decayed usage is forgotten.
MIN_USED_S = 0.05


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


@dataclass(frozen=True)
class AccountStanding:
    """
    What the order of groups needs to know about an account.

    :param weight: weight of the account's share.
    :param used_s: decayed slot-seconds that the account has used.
    :param floor_s: slot-seconds that the account lacks to FLOOR_PART of its share; 0 for none.
    """

    weight: float = 1.0
    used_s: float = 0.0
    floor_s: float = 0.0


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


class AccountLedger:
    """
    The engine time that each client account has used at one service, with decay.

    :param weight_of: returns the weight of an account's share; 1.0 for all accounts by default.
    """

    def __init__(self, weight_of: Callable[[str], float] = lambda client_account: 1.0) -> None:
        self._weight_of = weight_of
        self._used_s_and_at_s_by_account: dict[str, tuple[float, float]] = {}

    @classmethod
    def from_usage(
        cls,
        usage: Iterable[AccountUsage],
        service: str,
        weight_of: Callable[[str], float] = lambda client_account: 1.0,
    ) -> AccountLedger:
        """Restore the ledger of a service from the usage in the log."""
        ledger = cls(weight_of)
        for entry in usage:
            if entry.service == service:
                ledger._used_s_and_at_s_by_account[entry.client_account] = (
                    entry.used_s,
                    entry.at_s,
                )
        return ledger

    def to_usage(self, service: str, now: float) -> tuple[AccountUsage, ...]:
        """Return the usage to be kept in the log; accounts whose usage has decayed are dropped."""
        usage = []
        for account in sorted(self._used_s_and_at_s_by_account):
            used_s = self.used_s(account, now)
            if used_s < MIN_USED_S:
                del self._used_s_and_at_s_by_account[account]
                continue
            usage.append(AccountUsage(service, account, round(used_s, 3), round(now, 3)))
        return tuple(usage)

    def charge(self, client_account: str, slot_s: float, now: float) -> None:
        """Add slot-seconds that an account's runs have used."""
        _, at_s = self._used_s_and_at_s_by_account.get(client_account, (0.0, now))
        used_s = self.used_s(client_account, now) + slot_s
        self._used_s_and_at_s_by_account[client_account] = (used_s, max(now, at_s))

    def used_s(self, client_account: str, now: float) -> float:
        """Return an account's decayed slot-seconds."""
        used_s, at_s = self._used_s_and_at_s_by_account.get(client_account, (0.0, now))
        # A clock that was set back must not let usage grow.
        return used_s * 0.5 ** (max(0.0, now - at_s) / HALF_LIFE_S)

    def accounts(self) -> tuple[str, ...]:
        """Return the accounts with usage."""
        return tuple(sorted(self._used_s_and_at_s_by_account))

    def weight(self, client_account: str) -> float:
        """Return the weight of an account's share."""
        return self._weight_of(client_account)

    def share_s(self, client_account: str, active: Iterable[str], now: float) -> float:
        """
        Return an account's share of the slot-seconds that the active accounts have used.

        :param active: accounts with open items; this account counts as active as well.
        """
        accounts = {client_account, *active}
        total_s = sum(self.used_s(account, now) for account in accounts)
        total_weight = sum(self._weight_of(account) for account in accounts)
        return total_s * self._weight_of(client_account) / total_weight

    def owed_s(self, client_account: str, active: Iterable[str], now: float) -> float:
        """
        Return the slot-seconds by which an account is below its share.

        :param active: accounts with open items, over which the time is divided by weight.
        :return: negative for an account that has used more than its share, which the others lent.
        """
        return self.share_s(client_account, active, now) - self.used_s(client_account, now)

    def standings(self, active: Iterable[str], now: float) -> dict[str, AccountStanding]:
        """
        Return the standing of each active account, for the order of groups.

        :param active: accounts with open items.
        """
        accounts = sorted(set(active))
        used_s_by_account = {account: self.used_s(account, now) for account in accounts}
        total_s = sum(used_s_by_account.values())
        total_weight = sum(self._weight_of(account) for account in accounts)
        standings = {}
        for account in accounts:
            weight = self._weight_of(account)
            floor_s = FLOOR_PART * total_s * weight / total_weight
            missing_s = max(0.0, floor_s - used_s_by_account[account])
            standings[account] = AccountStanding(weight, used_s_by_account[account], missing_s)
        return standings


__all__ = ["AccountLedger", "AccountStanding", "AccountUsage", "ShareLedger"]
