"""Shares of cold endpoints, as the directory's leader grants them with the answers to renewals."""

from __future__ import annotations

import dataclasses

import pytest
from unit.directory.test_service import ENGINE, SETTINGS, renew, started

from ibisspring_core.messages.directory import Announce, Unchanged
from ibisspring_core.routes import RepeatRule, Route, RouteTable, ServiceTerms, Share
from ibisspring_decisions.cold_shares import SHARE_LEASE_S
from ibisspring_decisions.paced_sends import WINDOW_S
from ibisspring_directory.commands import PutTable

COLD = dataclasses.replace(ENGINE, cold_s=30.0)
CALLED = Route("r", "a", "/", RepeatRule.IDEMPOTENT, (Share("scorer", 1.0),), 1.0, 0.1)
TERMS = ServiceTerms("scorer", 100, cold_requests_per_s=8.0)


@pytest.fixture
async def directory():
    async with started(SETTINGS) as directory:
        directory._cold_engines.start_term(directory.led_since - SHARE_LEASE_S - WINDOW_S)
        yield directory


async def put(directory, *routes: Route) -> None:
    await directory.propose(PutTable(RouteTable(1, routes, (TERMS,)), b""))


async def test_entries_get_shares_of_a_cold_endpoint_with_their_renewals(directory) -> None:
    # The endpoint bears eight requests a second; half of them are for forwarded requests.
    await put(directory, CALLED)
    await directory.endpoints.announce(Announce(COLD))

    view = await directory.renew(renew("1"))
    again = await directory.renew(
        renew("1", epoch=view.epoch, revision=view.revision, table_version=1)
    )
    assert view.cold_shares == {COLD.endpoint: 4}
    assert isinstance(again, Unchanged)
    assert again.cold_shares == {COLD.endpoint: 4}
    assert (await directory.renew(renew("2"))).cold_shares == {}


async def test_no_shares_of_warm_endpoints_or_of_those_that_run_jobs_only(directory) -> None:
    await put(directory, CALLED)
    await directory.endpoints.announce(Announce(ENGINE))
    assert (await directory.renew(renew("1"))).cold_shares == {}

    await directory.propose(PutTable(RouteTable(2, (), (TERMS,)), b""))
    await directory.endpoints.announce(Announce(dataclasses.replace(COLD, sequence=9)))
    assert (await directory.renew(renew("1"))).cold_shares == {}


async def test_a_restarted_entry_gets_no_share_while_its_last_start_may_have_used_it(
    directory,
) -> None:
    # The entry sent its whole share and was killed. Its next start knows nothing of these requests.
    await put(directory, CALLED)
    await directory.endpoints.announce(Announce(COLD))
    await directory.renew(renew("1"))

    restarted = dataclasses.replace(renew("1"), incarnation="t")
    assert (await directory.renew(restarted)).cold_shares == {}
