"""Grants entries their shares of the requests per second that cold endpoints bear."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ibisspring_core.endpoint_table import SERVING
from ibisspring_core.routes import RouteIndex
from ibisspring_core.settings.vm import ENTRY
from ibisspring_decisions.cold_shares import ColdShares
from ibisspring_decisions.paced_sends import forwarded_part, requests_per_window

if TYPE_CHECKING:
    from ibisspring_core.messages.directory import Renew
    from ibisspring_core.routes import RouteTable
    from ibisspring_directory.leader_context import LeaderContext


class ColdEngines:
    """
    The shares of cold endpoints that the directory's leader has granted in its term.

    Only services that callers' requests are forwarded to have shares. Items of jobs are counted by
    the jobs' leader, which leaves these services a part of the limit.
    """

    def __init__(self, context: LeaderContext) -> None:
        self._context = context
        self._shares = ColdShares(0.0)
        self._table: RouteTable | None = None
        self._limit_by_service: dict[str, int] = {}
        self._owners_key: tuple[Any, ...] = ()
        self._endpoints_by_owner: dict[str, list[str]] = {}

    def start_term(self, now: float) -> None:
        """Forget the shares of an earlier term; `now` is the start of the new one."""
        self._shares = ColdShares(now)

    def shares_for(self, renew: Renew, now: float) -> dict[str, int]:
        """
        Grant an entry its shares with the answer to its renewal.

        :param now: seconds on the leader's boot clock.
        :return: requests per window by endpoint, for the endpoints of which it has a share.
        """
        limits = self._limit_by_cold_endpoint(now)
        self._shares.forget_others(frozenset(limits), now)
        if renew.role != ENTRY or not limits:
            return {}
        active = self._context.sessions.active(now, ENTRY)
        entries = tuple(_start_of(session.renew) for session in active)
        entry = _start_of(renew)
        shares = {}
        for endpoint in self._owned_by(entry, entries, limits):
            shares[endpoint] = self._shares.grant(endpoint, entry, entries, limits[endpoint], now)
        return {endpoint: share for endpoint, share in shares.items() if share}

    def _owned_by(
        self, entry: str, entries: tuple[str, ...], limits: dict[str, int]
    ) -> tuple[str, ...]:
        """
        Return the cold endpoints of which an entry is an owner.

        The owners are computed once for each change of the entries or the cold endpoints: entries
        renew several times a second.
        """
        key = (entries, tuple(sorted(limits.items())))
        if key != self._owners_key:
            self._owners_key = key
            self._endpoints_by_owner = {}
            for endpoint, limit in limits.items():
                for owner in self._shares.owners(endpoint, entries, limit):
                    self._endpoints_by_owner.setdefault(owner, []).append(endpoint)
        return tuple(self._endpoints_by_owner.get(entry, ()))

    def _limit_by_cold_endpoint(self, now: float) -> dict[str, int]:
        limit_by_service = self._limits()
        if not limit_by_service:
            return {}
        found = {}
        for received in self._context.endpoints.table.records():
            record = received.record
            is_cold = now < received.received_at + record.cold_s
            if record.state == SERVING and is_cold and record.service in limit_by_service:
                found[record.endpoint] = limit_by_service[record.service]
        return found

    def _limits(self) -> dict[str, int]:
        """Return the requests per window by service, computed once for each route table."""
        table = self._context.state.table
        if table is None or table is self._table:
            return self._limit_by_service
        settings = self._context.settings
        forwarded = RouteIndex(table).forwarded_services
        self._table = table
        self._limit_by_service = {}
        for terms in table.services:
            limit = requests_per_window(
                terms.cold_requests_per_s, settings.cold_overshoot, settings.cold_slack
            )
            if limit is not None and terms.name in forwarded:
                self._limit_by_service[terms.name] = forwarded_part(limit)
        return self._limit_by_service


def _start_of(renew: Renew) -> str:
    """Name one start of an entry: a restarted one does not know what it sent before."""
    return f"{renew.address} {renew.incarnation}"


__all__ = ["ColdEngines"]
