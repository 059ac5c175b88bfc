"""Checks of a route table that involve several fields."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisspring_core.errors import Finding

if TYPE_CHECKING:
    from ibisspring_core.routes.model import Route, RouteTable


def check_table(
    table: RouteTable, known_regions: frozenset[str] = frozenset()
) -> tuple[Finding, ...]:
    """
    Check a route table for faults that its field types do not exclude.

    :param table: the table, for example as an operator sent it.
    :param known_regions: regions of the system; empty if unknown, so that none is checked.
    :return: all findings, each with the route or account as its place; empty for a valid table.
    """
    findings: list[Finding] = []

    def report(place: str, message: str) -> None:
        findings.append(Finding(place, 0, 0, message))

    services = {service.name for service in table.services}
    seen: set[tuple[str, str]] = set()
    for number, route in enumerate(table.routes):
        place = f"routes[{number}]"
        for message in _route_faults(route, services):
            report(place, message)
        for message in _region_faults(route.regions, known_regions):
            report(place, message)
        if (route.host, route.prefix) in seen:
            report(place, f"{route.host}{route.prefix} is routed twice")
        seen.add((route.host, route.prefix))
    account_by_key: dict[str, str] = {}
    for number, account in enumerate(table.accounts):
        for message in _region_faults(account.regions, known_regions):
            report(f"accounts[{number}]", message)
        for key in account.keys:
            # A key may be listed twice for one account. A key of two accounts would not identify
            # the caller's account.
            if account_by_key.setdefault(key, account.name) != account.name:
                report(f"accounts[{number}]", f"shares a key with {account_by_key[key]!r}")
    return tuple(findings)


def _region_faults(regions: tuple[str, ...], known_regions: frozenset[str]) -> list[str]:
    if not known_regions:
        return []
    known = ", ".join(sorted(known_regions))
    return [
        f"region {region!r} is unknown; known are {known}"
        for region in regions
        if region not in known_regions
    ]


def _route_faults(route: Route, services: set[str]) -> list[str]:
    faults = []
    for share in route.shares:
        if share.service not in services:
            faults.append(f"service {share.service!r} is unknown")
    if not route.shares:
        faults.append("no service is listed")
    if any(share.weight < 0 for share in route.shares):
        faults.append("a weight is negative")
    if sum(share.weight for share in route.shares) <= 0:
        faults.append("the weights add up to 0")
    if route.timeout_s <= 0:
        faults.append("the timeout must be above 0")
    if not route.host:
        faults.append("the host is missing")
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        faults.append("the prefix must begin and end with a slash")
    return faults


__all__ = ["check_table"]
