"""
Who is let in: a rate per client account, shared over all entries.

Load pattern: a client account sends most of its requests through one or two entries, because the
balancer keeps connections; a job's start sends a burst; a broken client retries without a pause;
and entries lose sight of each other.

Without it: divided evenly over 9 entries, an account whose connections sit on one entry gets a
ninth of its rate; not divided, it gets nine times its rate; refused without a time to come back,
its clients return at once and all together.

Grounds for the figures:

- `DEMAND_TIME_S` 2 s: entries tell each other their demand about once a second, so a shorter memory
  would share by noise, a longer one would follow a moved connection late.
- `RESERVED` 20%: what entries keep evenly whatever the demand, so that the first requests at an
  entry without demand so far are let in before the next exchange. The other 80% follow demand.
- `STALE_S` 3 s: three exchanges were missed. From then on the entry keeps only the even shares of
  those it hears, so that both sides of a cut together never exceed the rate.
- `MAX_RETRY_AFTER_S` 30 s: beyond it a place in line says nothing about the load at that time.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Mapping

DEMAND_TIME_S = 2.0
RESERVED = 0.2
STALE_S = 3.0
MAX_RETRY_AFTER_S = 30.0
# Less demand than one request in ten seconds is none.
NO_DEMAND = 0.1


class RateRule(Protocol):
    """A client account's rule, as far as admission reads it."""

    rate_per_s: float
    burst: float


@dataclass(frozen=True)
class PeerDemand:
    """
    What another live entry is asked for.

    :param heard_s: when it told; None where it never did.
    :param demand_by_client_account: requests a second, refused ones included.
    """

    heard_s: float | None
    demand_by_client_account: Mapping[str, float]


@dataclass(frozen=True)
class Admitted:
    """The request may go on."""


@dataclass(frozen=True)
class NotAdmitted:
    """
    The request is refused before anything was done for it.

    :param retry_after_s: each refused caller is given its own time, spaced at the account's rate,
        so that callers who come back then find room.
    """

    retry_after_s: float


class _Bucket:
    """Tokens, promised times and demand of one client account at this entry."""

    def __init__(self, rule: RateRule, now: float) -> None:
        self.rule = rule
        self.fraction = 1.0
        self.tokens = rule.burst
        self.filled_s = now
        self.promised_s = now
        self.demand = 0.0
        self.demand_s = now

    def limit(self, fraction: float, now: float) -> None:
        """Take another fraction of the account's rate from now on."""
        self.fill(now)
        self.fraction = fraction
        self.tokens = min(self.tokens, self.size())

    def rate(self) -> float:
        return self.rule.rate_per_s * self.fraction

    def size(self) -> float:
        return max(1.0, self.rule.burst * self.fraction)

    def fill(self, now: float) -> None:
        passed_s = max(0.0, now - self.filled_s)
        self.tokens = min(self.size(), self.tokens + passed_s * self.rate())
        self.filled_s = now

    def ask(self, now: float) -> Admitted | NotAdmitted:
        self.fill(now)
        self.demand = self.demand_now(now) + 1.0 / DEMAND_TIME_S
        # Time is a sum of floats: a caller who comes back at the promised moment must not fail by
        # the last digit.
        if self.tokens >= 1.0 - 1e-9:
            self.tokens = max(0.0, self.tokens - 1.0)
            return Admitted()
        next_token_s = now + (1.0 - self.tokens) / self.rate()
        self.promised_s = max(next_token_s, self.promised_s + 1.0 / self.rate())
        self.promised_s = min(self.promised_s, now + MAX_RETRY_AFTER_S)
        return NotAdmitted(self.promised_s - now)

    def demand_now(self, now: float) -> float:
        passed_s = max(0.0, now - self.demand_s)
        self.demand *= math.exp(-passed_s / DEMAND_TIME_S)
        self.demand_s = now
        return self.demand


class Admission:
    """The buckets of one entry by client account."""

    def __init__(self) -> None:
        self._bucket_by_client_account: dict[str, _Bucket] = {}

    @classmethod
    def from_rules(cls, rule_by_client_account: Mapping[str, RateRule], now: float) -> Admission:
        """
        Build admission for an entry that knows of no other.

        :param rule_by_client_account: rate and burst over all entries together.
        :param now: seconds on any steady clock, the same in every call.
        :return: the policy.
        """
        admission = cls()
        admission.follow_rules(rule_by_client_account, now)
        return admission

    def follow_rules(self, rule_by_client_account: Mapping[str, RateRule], now: float) -> None:
        """
        Go on under changed rules; an account's tokens and promises stay, so that a change of one
        rule gives no other account a fresh burst.

        :param rule_by_client_account: as in `from_rules`.
        """
        old = self._bucket_by_client_account
        self._bucket_by_client_account = {}
        for name, rule in rule_by_client_account.items():
            bucket = old.get(name)
            if bucket is None:
                bucket = _Bucket(rule, now)
            bucket.fill(now)
            bucket.rule = rule
            self._bucket_by_client_account[name] = bucket

    def ask(self, client_account: str, now: float) -> Admitted | NotAdmitted:
        """
        Let one request in, or say when to come back.

        :param client_account: one that the rules name.
        :return: the decision.
        """
        bucket = self._bucket_by_client_account.get(client_account)
        if bucket is None:
            return NotAdmitted(MAX_RETRY_AFTER_S)
        return bucket.ask(now)

    def demand(self, now: float) -> dict[str, float]:
        """
        Tell what the other entries need to know.

        :return: recent requests a second by client account, refused ones included.
        """
        demand: dict[str, float] = {}
        for name, bucket in self._bucket_by_client_account.items():
            recent = bucket.demand_now(now)
            if recent >= NO_DEMAND:
                demand[name] = recent
        return demand

    def share(self, peers: tuple[PeerDemand, ...], now: float) -> None:
        """
        Divide each account's rate by demand; call it about once a second.

        :param peers: the other live entries, also those that were never heard.
        """
        heard = [
            peer.demand_by_client_account
            for peer in peers
            if peer.heard_s is not None and now - peer.heard_s <= STALE_S
        ]
        entries = len(peers) + 1
        # Who is not heard may be serving: its even share is left alone.
        pool = (len(heard) + 1) / entries
        for name, bucket in self._bucket_by_client_account.items():
            own = bucket.demand_now(now)
            others = sum(demand.get(name, 0.0) for demand in heard)
            even = 1.0 / (len(heard) + 1)
            by_demand = own / (own + others) if own + others >= NO_DEMAND else even
            bucket.limit(pool * (RESERVED * even + (1.0 - RESERVED) * by_demand), now)


__all__ = ["Admission", "Admitted", "NotAdmitted", "PeerDemand", "RateRule"]
