"""Lookups of routes, services and keys in the route table in force."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ibisspring_core.routes.model import ClientAccount, Route, RouteTable, ServiceTerms


class RouteIndex:
    """
    Finds routes, services and accounts in one route table, with dictionaries built once.

    :param forwarded_services: names of the services that callers' requests are forwarded to, other
        than as items of jobs.
    """

    def __init__(self, table: RouteTable) -> None:
        self.table = table
        self.service_by_name: dict[str, ServiceTerms] = {
            service.name: service for service in table.services
        }
        self._routes_by_host: dict[str, list[Route]] = {}
        for route in table.routes:
            self._routes_by_host.setdefault(route.host, []).append(route)
        for routes in self._routes_by_host.values():
            routes.sort(key=lambda route: -len(route.prefix))
        self.forwarded_services = frozenset(
            share.service for route in table.routes if route.job is None for share in route.shares
        )
        # Accounts are found by the digest of a key, so that the time of a lookup reveals nothing
        # about the key's characters.
        self._account_by_digest: dict[bytes, ClientAccount] = {
            _digest(key): account for account in table.accounts for key in account.keys
        }

    @property
    def needs_keys(self) -> bool:
        """Whether callers must send a key; False if the table has no client accounts."""
        return bool(self.table.accounts)

    def route(self, host: str, path: str) -> Route | None:
        """
        Find the route whose prefix is the longest match of a path.

        :param host: host name without a port.
        :param path: path of the request line, still percent-encoded, without the query.
        :return: the route; None if no route matches.
        """
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def has_public_jobs(self, host: str) -> bool:
        """
        Whether callers without a key may submit jobs on any route of a host.

        :param host: host name without a port.
        """
        return any(
            route.public and route.job is not None for route in self._routes_by_host.get(host, ())
        )

    def account(self, key: str) -> ClientAccount | None:
        """
        Find the client account that a key belongs to.

        :param key: the key as the caller sent it.
        :return: the account; None if the key belongs to no account.
        """
        return self._account_by_digest.get(_digest(key))


def allowed_regions(route: Route, account: ClientAccount | None) -> tuple[str, ...] | None:
    """
    Compute the regions in which an account's request on a route may run.

    :param account: the account whose key came with the request; None without a key.
    :return: the regions, sorted; None for all. Where both the route and the account name regions,
        only those that both name, which may be none.
    """
    account_regions = account.regions if account is not None else ()
    return common_regions(route.regions or None, account_regions or None)


def common_regions(
    first: tuple[str, ...] | None, second: tuple[str, ...] | None
) -> tuple[str, ...] | None:
    """Return the regions that both limits allow, sorted; None stands for all regions."""
    if first is None or second is None:
        return first if second is None else second
    return tuple(sorted(set(first) & set(second)))


def _digest(key: str) -> bytes:
    return hashlib.sha256(key.encode()).digest()


__all__ = ["RouteIndex", "allowed_regions", "common_regions"]
