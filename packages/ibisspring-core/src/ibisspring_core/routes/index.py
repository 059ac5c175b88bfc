"""Looks up routes and keys of the table in force."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ibisspring_core.routes.model import ClientAccount, Route, RouteTable, ServiceTerms


class RouteIndex:
    """The lookups of one table, built once for it."""

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
        # Keyed by digest, so that the time of a lookup tells nothing about a key's characters.
        self._account_by_digest: dict[bytes, ClientAccount] = {
            _digest(key): account for account in table.accounts for key in account.keys
        }

    @property
    def needs_keys(self) -> bool:
        """Whether callers show keys at all."""
        return bool(self.table.accounts)

    def route(self, host: str, path: str) -> Route | None:
        """
        Find the route with the longest prefix that begins a path.

        :param host: host without a port.
        :param path: path as it stands in the request line, without its query.
        :return: the route; None where none matches.
        """
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def account(self, key: str) -> ClientAccount | None:
        """
        Find who holds a key.

        :param key: as the caller showed it.
        :return: the account; None where nobody holds the key.
        """
        return self._account_by_digest.get(_digest(key))


def _digest(key: str) -> bytes:
    return hashlib.sha256(key.encode()).digest()


__all__ = ["RouteIndex"]
