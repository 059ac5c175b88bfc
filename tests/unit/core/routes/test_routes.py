from __future__ import annotations

import dataclasses

from ibisspring_core.routes import (
    ClientAccount,
    RepeatRule,
    Route,
    RouteIndex,
    RouteTable,
    ServiceTerms,
    Share,
    allowed_regions,
    check_table,
)

LOOKUP = Route(
    name="lookup",
    host="archive.example",
    prefix="/lookup/",
    repeat=RepeatRule.IDEMPOTENT,
    shares=(Share("archive", 1.0),),
    timeout_s=2.0,
    target_s=0.2,
)
TABLE = RouteTable(
    version=3,
    routes=(LOOKUP, dataclasses.replace(LOOKUP, name="old", prefix="/lookup/old/")),
    services=(ServiceTerms("archive", 100),),
    accounts=(ClientAccount("forge", ("k1", "k2")), ClientAccount("mill", ("k3",))),
)


def with_route(**changes) -> RouteTable:
    return dataclasses.replace(TABLE, routes=(dataclasses.replace(LOOKUP, **changes),))


def test_valid_table_has_no_findings() -> None:
    assert check_table(TABLE) == ()


def test_each_fault_is_found() -> None:
    # An operator's configuration has typing errors. If it were accepted, certificate fetches could
    # be left without an endpoint; it must be rejected with all its faults reported together.
    faulty = {
        "unknown service": with_route(shares=(Share("nowhere", 1.0),)),
        "no weight": with_route(shares=(Share("archive", 0.0),)),
        "negative": with_route(shares=(Share("archive", 2.0), Share("archive", -1.0))),
        "no timeout": with_route(timeout_s=0.0),
        "prefix": with_route(prefix="lookup"),
        "same place": dataclasses.replace(TABLE, routes=(LOOKUP, LOOKUP)),
        "shared key": dataclasses.replace(
            TABLE, accounts=(ClientAccount("forge", ("k1",)), ClientAccount("mill", ("k1",)))
        ),
    }
    for name, table in faulty.items():
        assert len(check_table(table)) == 1, name
    assert len(check_table(with_route(shares=(), timeout_s=0.0))) == 3


def test_the_longest_prefix_wins() -> None:
    index = RouteIndex(TABLE)

    assert index.route("archive.example", "/lookup/old/7").name == "old"
    assert index.route("archive.example", "/lookup/7").name == "lookup"
    assert index.route("archive.example", "/other/7") is None
    assert index.route("elsewhere.example", "/lookup/7") is None


def test_an_api_key_maps_to_its_client_account() -> None:
    index = RouteIndex(TABLE)

    assert index.account("k2").name == "forge"
    assert index.account("k3").name == "mill"
    assert index.account("k4") is None
    assert index.account("") is None


def test_an_unknown_region_is_found_with_its_place() -> None:
    # An operator mistypes a region. If it were accepted, no endpoint would be left for the route.
    known = frozenset({"midlands", "north"})
    table = dataclasses.replace(
        with_route(regions=("midlands", "nroth")),
        accounts=(ClientAccount("forge", ("k1",), regions=("south",)),),
    )

    findings = check_table(table, known)

    assert [finding.place for finding in findings] == ["routes[0]", "accounts[0]"]
    assert "'nroth' is unknown; known are midlands, north" in findings[0].message
    assert check_table(with_route(regions=("north",)), known) == ()
    assert check_table(table) == ()


def test_regions_of_the_route_and_of_the_account_both_bind() -> None:
    route = dataclasses.replace(LOOKUP, regions=("midlands", "north"))
    account = ClientAccount("forge", ("k1",), regions=("north", "south"))

    assert allowed_regions(LOOKUP, None) is None
    assert allowed_regions(route, None) == ("midlands", "north")
    assert allowed_regions(LOOKUP, account) == ("north", "south")
    assert allowed_regions(route, account) == ("north",)
    assert allowed_regions(dataclasses.replace(LOOKUP, regions=("east",)), account) == ()
