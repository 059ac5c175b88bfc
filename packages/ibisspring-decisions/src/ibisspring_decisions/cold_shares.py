"""
Divides the requests per second that a cold endpoint bears among many entries.

Load pattern: a data centre returns and all endpoints of a service are cold at once, while each of
hundreds of entries forwards callers' requests to them. An endpoint bears fewer requests per second
than there are entries, so that an equal division would leave each entry less than one request.

A few entries therefore own each cold endpoint, chosen by rendezvous hashing: the endpoint's number
of owners follows the requests that it bears, and each endpoint has other owners. All other entries
send their requests to warm endpoints, or refuse them.

A share holds for a limited time. While it may still be in use, and for one more window, it is not
given to another entry; a new leader waits as long before its first share. The sum of the shares in
use therefore never exceeds the limit, whatever an entry that is frozen or cut off believes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from ibisspring_decisions.paced_sends import WINDOW_S

if TYPE_CHECKING:
    from collections.abc import Sequence

# Seconds for which an entry may use a share, from the moment at which it asked for it. Entries ask
# again at least every half second.
SHARE_LEASE_S = 1.5
# Least share in requests per window; smaller ones serve no burst.
MIN_SHARE = 4


class ColdShares:
    """
    The shares that one leader has granted.

    In all methods `now` is in seconds on the leader's clock, and an entry is named by a string that
    differs for each of its starts.

    :param started_at: start of the leader's term.
    """

    def __init__(self, started_at: float) -> None:
        self._first_grant_at = started_at + SHARE_LEASE_S + WINDOW_S
        self._grants_by_endpoint: dict[str, dict[str, tuple[int, float]]] = {}
        self._owners_by_endpoint: dict[str, tuple[tuple[str, ...], int, frozenset[str]]] = {}

    def owners(self, endpoint: str, entries: Sequence[str], limit: int) -> frozenset[str]:
        """
        Return the owners of an endpoint, as `owners_of`.

        They are computed once for each change of the entries: these renew several times a second.
        """
        known = self._owners_by_endpoint.get(endpoint)
        if known is None or known[:2] != (tuple(entries), limit):
            known = (tuple(entries), limit, owners_of(endpoint, entries, limit))
            self._owners_by_endpoint[endpoint] = known
        return known[2]

    def grant(
        self, endpoint: str, entry: str, entries: Sequence[str], limit: int, now: float
    ) -> int:
        """
        Grant an entry its share of a cold endpoint for SHARE_LEASE_S seconds.

        :param entries: all active entries, this one included.
        :param limit: requests per window that all entries together may send to the endpoint.
        :return: requests per window that the entry may send; 0 for none.
        """
        if now < self._first_grant_at or entry not in self.owners(endpoint, entries, limit):
            return 0
        grants = self._grants_by_endpoint.setdefault(endpoint, {})
        for other, (_, until) in list(grants.items()):
            if now >= until:
                del grants[other]
        used_by_others = sum(count for other, (count, _) in grants.items() if other != entry)
        wanted = limit // owner_count(len(entries), limit)
        share = max(0, min(wanted, limit - used_by_others))
        # A smaller share must not free what the entry may still use of its larger one.
        previous, until = grants.get(entry, (0, 0.0))
        grants[entry] = (max(share, previous), max(until, now + SHARE_LEASE_S + WINDOW_S))
        return share

    def forget_others(self, endpoints: frozenset[str], now: float) -> None:
        """Delete the owners and the expired grants of endpoints that are not cold any more."""
        for endpoint, grants in list(self._grants_by_endpoint.items()):
            if endpoint not in endpoints and all(now >= until for _, until in grants.values()):
                del self._grants_by_endpoint[endpoint]
        for endpoint in self._owners_by_endpoint.keys() - endpoints:
            del self._owners_by_endpoint[endpoint]


def owner_count(entries: int, limit: int) -> int:
    """Return how many entries share an endpoint, so that each share is at least MIN_SHARE."""
    return max(1, min(entries, limit // MIN_SHARE))


def owners_of(endpoint: str, entries: Sequence[str], limit: int) -> frozenset[str]:
    """
    Choose the entries that may send to a cold endpoint, by rendezvous hashing.

    :return: the owners; an entry that joins or leaves changes at most one of them.
    """
    ranked = sorted(
        entries, key=lambda entry: xxhash.xxh64_intdigest(f"{endpoint} {entry}".encode())
    )
    return frozenset(ranked[: owner_count(len(entries), limit)])


__all__ = ["ColdShares", "MIN_SHARE", "SHARE_LEASE_S", "owner_count", "owners_of"]
