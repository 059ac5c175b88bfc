"""
Admission control: a token bucket per client account, with the rate divided over all entries.

A client account sends most of its requests through one or two entries, because the balancer keeps
connections open. With its rate divided evenly over 9 entries, an account whose connections all end
at one entry would get a ninth of its rate; with the rate undivided, it would get nine times its
rate. Entries therefore exchange their recent demand (requests per second of each account), and each
takes a fraction of the rate in proportion to its own demand. Entries that lose contact with each
other keep fractions that together never exceed the rate.

A starting job sends many requests at once, and a broken client retries without a delay. Each
rejection therefore states a retry time of its own; without one, all rejected clients would retry at
once.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Mapping

# Time constant in seconds of the exponential average of demand. Entries exchange their demand about
# once a second: with less than 2 s, random variation would decide the fractions; with more, the
# fractions would follow late when a connection moves to another entry.
DEMAND_DECAY_S = 2.0
# Share of an account's rate that is divided evenly over the entries: 20% whatever the demand, so
# that an entry without recent demand admits its first requests before the next exchange of demand.
# The other 80% are divided in proportion to demand.
EVEN_SHARE = 0.2
# Seconds after which the demand last received from another entry is ignored: after 3 s, three
# exchanges were missed. From then on, this entry divides only the even shares of the entries that
# it still receives demand from, so that the two sides of a network partition together never exceed
# the rate.
DEMAND_MAX_AGE_S = 3.0
# Longest retry time in seconds that a rejection states. Beyond 30 s, the number of callers that
# retry before this one says nothing about the rate of requests at that time.
MAX_RETRY_AFTER_S = 30.0
# Requests per second below which an account counts as without demand: one request in ten seconds.
MIN_DEMAND_PER_S = 0.1


class RateRule(Protocol):
    """
    The part of a client account's rule that admission reads.

    `rate_per_s` and `burst`, in requests, apply to all entries together.
    """

    rate_per_s: float
    burst: float


@dataclass(frozen=True)
class PeerDemand:
    """
    Demand of the client accounts at another live entry.

    :param received_s: time in seconds at which the other entry's latest demand was received; None
        if none was received.
    :param demand_by_client_account: requests per second, rejected ones included.
    """

    received_s: float | None
    demand_by_client_account: Mapping[str, float]


@dataclass(frozen=True)
class Admitted:
    """The request is admitted."""


@dataclass(frozen=True)
class NotAdmitted:
    """
    The request is rejected before any work was done for it.

    :param retry_after_s: seconds until a token is free for this caller. Rejected callers of an
        account get different times, spaced at the account's rate, so that their retries are
        admitted.
    """

    retry_after_s: float


class _Bucket:
    """Token bucket, latest retry time and average demand of one client account at this entry."""

    def __init__(self, rule: RateRule, now: float) -> None:
        self.rule = rule
        self.fraction = 1.0
        self.tokens = rule.burst
        self.refilled_s = now
        self.last_retry_s = now
        self.average_demand = 0.0
        self.averaged_s = now

    def set_fraction(self, fraction: float, now: float) -> None:
        """
        Set this entry's fraction of the account's rate and burst from now on.

        :param fraction: the fraction, from 0 to 1.
        """
        self.refill(now)
        self.fraction = fraction
        self.tokens = min(self.tokens, self.size())

    def rate(self) -> float:
        """Return the tokens added per second at this entry."""
        return self.rule.rate_per_s * self.fraction

    def size(self) -> float:
        """Return the largest number of tokens that the bucket holds at this entry."""
        return max(1.0, self.rule.burst * self.fraction)

    def refill(self, now: float) -> None:
        """Add the tokens for the time since the bucket was last refilled."""
        passed_s = max(0.0, now - self.refilled_s)
        self.tokens = min(self.size(), self.tokens + passed_s * self.rate())
        self.refilled_s = now

    def ask(self, now: float) -> Admitted | NotAdmitted:
        """
        Take a token for one request, or reject the request; in both cases the request counts as
        demand.
        """
        self.refill(now)
        self.average_demand = self.demand(now) + 1.0 / DEMAND_DECAY_S
        # Tokens are a sum of floats: a caller that retries exactly at its retry time must not be
        # rejected because of a rounding error.
        if self.tokens >= 1.0 - 1e-9:
            self.tokens = max(0.0, self.tokens - 1.0)
            return Admitted()
        next_token_s = now + (1.0 - self.tokens) / self.rate()
        self.last_retry_s = max(next_token_s, self.last_retry_s + 1.0 / self.rate())
        self.last_retry_s = min(self.last_retry_s, now + MAX_RETRY_AFTER_S)
        return NotAdmitted(self.last_retry_s - now)

    def demand(self, now: float) -> float:
        """Return the exponential average of requests per second, decayed until now."""
        passed_s = max(0.0, now - self.averaged_s)
        self.average_demand *= math.exp(-passed_s / DEMAND_DECAY_S)
        self.averaged_s = now
        return self.average_demand


class Admission:
    """Admission control of one entry for all client accounts."""

    def __init__(self) -> None:
        self._bucket_by_client_account: dict[str, _Bucket] = {}

    @classmethod
    def from_rules(cls, rule_by_client_account: Mapping[str, RateRule], now: float) -> Admission:
        """
        Build the admission control of an entry that uses the complete rates until
        `divide_by_demand` is called.

        :param rule_by_client_account: rate and burst of each account over all entries together.
        :param now: seconds on any steady clock, the same one in every call.
        :return: the admission control, with the full burst available to each account.
        """
        admission = cls()
        admission.set_rules(rule_by_client_account, now)
        return admission

    def set_rules(self, rule_by_client_account: Mapping[str, RateRule], now: float) -> None:
        """
        Replace the rate rules of all accounts.

        Accounts that remain keep their tokens and retry times, so that a change of one account's
        rule gives no other account a new burst.

        :param rule_by_client_account: new rate and burst of each account over all entries together.
        """
        old = self._bucket_by_client_account
        self._bucket_by_client_account = {}
        for name, rule in rule_by_client_account.items():
            bucket = old.get(name)
            if bucket is None:
                bucket = _Bucket(rule, now)
            bucket.refill(now)
            bucket.rule = rule
            self._bucket_by_client_account[name] = bucket

    def admit(self, client_account: str, now: float) -> Admitted | NotAdmitted:
        """
        Admit or reject one request.

        :param client_account: the caller's account; one without a rule is always rejected.
        :return: whether the request is admitted; if not, with the seconds after which to retry.
        """
        bucket = self._bucket_by_client_account.get(client_account)
        if bucket is None:
            return NotAdmitted(MAX_RETRY_AFTER_S)
        return bucket.ask(now)

    def demand(self, now: float) -> dict[str, float]:
        """
        Return this entry's demand, to be sent to the other entries.

        :return: recent requests per second by client account, rejected ones included; accounts
            below `MIN_DEMAND_PER_S` are left out.
        """
        demand: dict[str, float] = {}
        for name, bucket in self._bucket_by_client_account.items():
            recent = bucket.demand(now)
            if recent >= MIN_DEMAND_PER_S:
                demand[name] = recent
        return demand

    def divide_by_demand(self, peers: tuple[PeerDemand, ...], now: float) -> None:
        """
        Set this entry's fraction of each account's rate by demand.

        To be called about once a second, with the latest demand of the other entries.

        :param peers: all other live entries, also those whose demand was never received.
        """
        current = [
            peer.demand_by_client_account
            for peer in peers
            if peer.received_s is not None and now - peer.received_s <= DEMAND_MAX_AGE_S
        ]
        entries = len(peers) + 1
        # An entry whose demand was not received lately may still admit requests: its even share of
        # the rate is left to it.
        pool = (len(current) + 1) / entries
        for name, bucket in self._bucket_by_client_account.items():
            own = bucket.demand(now)
            others = sum(demand.get(name, 0.0) for demand in current)
            even = 1.0 / (len(current) + 1)
            by_demand = own / (own + others) if own + others >= MIN_DEMAND_PER_S else even
            bucket.set_fraction(pool * (EVEN_SHARE * even + (1.0 - EVEN_SHARE) * by_demand), now)


__all__ = ["Admission", "Admitted", "NotAdmitted", "PeerDemand", "RateRule"]
