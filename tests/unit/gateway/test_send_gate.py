"""The last check before a request is sent: evacuated data centres, old views, late assignments."""

from __future__ import annotations

import dataclasses
import re
from pathlib import Path
from types import MappingProxyType, SimpleNamespace

import pytest
from unit.gateway.test_forward import LOOKUP_ROUTE, REQUEST, forwarder_to, response_bytes

from fakes.scripted_endpoint import scripted
from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.messages.directory import View
from ibisspring_core.messages.endpoints import EndpointRecord
from ibisspring_core.messages.jobs import Assignment, JobItem
from ibisspring_core.routes import RouteIndex, RouteTable, ServiceTerms
from ibisspring_core.settings.vm import ENTRY, VmSettings
from ibisspring_gateway import send_gate
from ibisspring_gateway.send_gate import SendGate

PACKAGES = Path(__file__).resolve().parents[3] / "packages"
ITEM = JobItem("i1", "/score/1", (), b"", 10)
ASSIGNMENT = Assignment(
    number=1,
    job="j1",
    item=ITEM,
    client_account="forge",
    host="a",
    service="scorer",
    endpoint="e1",
    incarnation=1,
    address="10.0.0.1:80",
    expected_version=None,
    resume_after=0,
    deadline_s=5.0,
    data_centre="derby",
    paced=True,
)


SETTINGS = VmSettings(
    "e1",
    ENTRY,
    "derby",
    "10.0.0.1:1",
    (),
    region_by_data_centre={"derby": "midlands", "york": "north"},
    evacuate_s=5.0,
)


def gate_with(
    evacuated=(), view_age_s: float = 0.0, evacuate_s: float = 5.0, cold_shares=MappingProxyType({})
) -> SendGate:
    gate = SendGate(dataclasses.replace(SETTINGS, evacuate_s=evacuate_s))
    gate._view = SimpleNamespace(
        view=View(1, 1, evacuated=evacuated),
        age_s=lambda: view_age_s,
        index=RouteIndex(
            RouteTable(1, services=(ServiceTerms("scorer", 9, cold_requests_per_s=4),))
        ),
        is_cold=lambda endpoint: endpoint in cold_shares,
        cold_share=lambda endpoint, lease_s: cold_shares[endpoint],
    )
    return gate


def endpoint_in(data_centre: str, service: str = "archive") -> EndpointRecord:
    return EndpointRecord("e1", 1, 1, service, "plain", "standard", data_centre, "10.0.0.1:80")


def test_item_assigned_just_before_an_evacuation_is_not_sent() -> None:
    # The jobs' leader assigned the item when the data centre was in use. The entry has learned of
    # the evacuation since.
    gate = gate_with(evacuated=("derby",))

    assert gate.item_refusal(ASSIGNMENT, boot_now() + 1.0) is Reason.EVACUATED
    assert gate_with().item_refusal(ASSIGNMENT, boot_now() + 1.0) is None


def test_entry_out_of_touch_sends_no_items_before_an_evacuation_could_bind_it() -> None:
    # The entry is cut off from control but reaches the jobs' leader and the engines. The operator's
    # call was answered without it. The last item must have arrived before the time that the answer
    # allows, although the entry cannot know of the evacuation.
    limit_s = 5.0 - send_gate.CONNECT_TIMEOUT_S - send_gate.ARRIVAL_RESERVE_S

    assert gate_with(view_age_s=limit_s - 0.1).may_run_items()
    assert not gate_with(view_age_s=limit_s + 0.1).may_run_items()
    late = gate_with(view_age_s=limit_s + 0.1)
    assert late.item_refusal(ASSIGNMENT, boot_now() + 1.0) is Reason.LEASE_LAPSED
    assert late.request_refusal(endpoint_in("derby")) is None


def test_entries_without_evacuations_in_their_settings_run_items_by_an_old_view() -> None:
    assert gate_with(view_age_s=1e6, evacuate_s=0.0).may_run_items()


def test_paced_assignment_that_arrives_late_is_not_sent() -> None:
    # An entry is frozen with an assignment in its socket buffer. The dispatcher no longer counts
    # the assignment for the second in which the entry wakes, and has assigned others since.
    assert gate_with().item_refusal(ASSIGNMENT, boot_now() - 0.01) is Reason.STALE


def test_requests_and_items_stay_in_their_regions() -> None:
    # A route names the region that its requests may run in. An endpoint elsewhere is not chosen,
    # and a choice that was made by an older configuration is not carried out.
    gate = gate_with()

    assert gate.request_refusal(endpoint_in("derby"), ("midlands",)) is None
    assert gate.request_refusal(endpoint_in("york"), ("midlands",)) is Reason.OUTSIDE_REGIONS
    assert gate.request_refusal(endpoint_in("york"), None) is None
    assert gate.request_refusal(endpoint_in("derby"), ()) is Reason.OUTSIDE_REGIONS
    assert gate.request_refusal(endpoint_in("nowhere"), ("midlands",)) is Reason.OUTSIDE_REGIONS
    item = dataclasses.replace(ASSIGNMENT, data_centre="york", regions=("midlands",))
    assert gate.item_refusal(item, boot_now() + 1.0) is Reason.OUTSIDE_REGIONS


async def test_request_without_an_endpoint_in_its_regions_is_refused_with_its_own_reason() -> None:
    async with (
        scripted(lambda head: [response_bytes()]) as endpoint,
        forwarder_to(endpoint) as forwarder,
    ):
        at_home = dataclasses.replace(REQUEST, regions=("north",))

        refused = await forwarder.forward(at_home, LOOKUP_ROUTE)

        assert endpoint.request_heads == []
    assert (refused.reason, refused.not_run) == (Reason.OUTSIDE_REGIONS, True)


async def test_no_attempt_is_spent_on_an_endpoint_that_may_not_be_used() -> None:
    # The nearer of two endpoints stands outside the request's regions. If it were chosen and
    # rejected only before the send, the request's single attempt would be used up.
    async with (
        scripted(lambda head: [response_bytes()]) as near,
        scripted(lambda head: [response_bytes()]) as far,
        forwarder_to(near, far) as forwarder,
    ):
        first, second = forwarder.view.serving("archive")
        records = (first, dataclasses.replace(second, data_centre="york"))
        forwarder.view.serving = lambda service: records
        request = dataclasses.replace(REQUEST, regions=("north",))
        route = dataclasses.replace(LOOKUP_ROUTE, max_attempts=1)

        answer = await forwarder.forward(request, route)

        assert answer.status == 200
        assert near.request_heads == []


async def test_request_is_refused_with_its_own_reason_if_all_endpoints_are_evacuated() -> None:
    async with (
        scripted(lambda head: [response_bytes()]) as endpoint,
        forwarder_to(endpoint) as forwarder,
    ):
        forwarder.view.view = View(1, 1, evacuated=("derby",))
        forwarder.view.serving = lambda service: ()

        refused = await forwarder.forward(REQUEST, LOOKUP_ROUTE)

    assert isinstance(refused, Refusal)
    assert (refused.reason, refused.not_run) == (Reason.EVACUATED, True)
    assert refused.retry_after_s >= 1.0


async def test_request_whose_endpoint_is_evacuated_after_the_choice_is_not_sent() -> None:
    async with (
        scripted(lambda head: [response_bytes()]) as endpoint,
        forwarder_to(endpoint) as forwarder,
    ):
        # The endpoint is chosen by a view that does not have the evacuation yet.
        forwarder._gate.refusal = lambda record, regions: None
        forwarder._gate.request_refusal = lambda record, regions: Reason.EVACUATED

        refused = await forwarder.forward(REQUEST, LOOKUP_ROUTE)

        assert endpoint.request_heads == []
    assert (refused.reason, refused.not_run) == (Reason.EVACUATED, True)


@pytest.mark.parametrize(
    ("module", "check"),
    [
        ("ibisspring-gateway/src/ibisspring_gateway/forward.py", "self._gate.request_refusal("),
        ("ibisspring-gateway/src/ibisspring_gateway/runner.py", "self._gate.item_refusal("),
    ],
)
def test_each_module_that_sends_asks_the_gate(module: str, check: str) -> None:
    assert (PACKAGES / module).read_text(encoding="utf-8").count(check) == 1


def test_no_other_place_sends_requests_to_endpoints() -> None:
    # Callers' requests, retries, hedged attempts and reward calls are sent by the forwarder, items
    # and resumed items by `run_item`, which only the runner calls. A new place has to ask the gate
    # too, and is added here.
    sending = re.compile(r"connections\.request\(|\brun_item\(")
    found = {}
    for package in ("ibisspring-gateway", "ibisspring-jobs", "ibisspring-directory"):
        for path in (PACKAGES / package).rglob("*.py"):
            calls = sending.findall(path.read_text(encoding="utf-8"))
            if calls:
                found[path.name] = len(calls)

    # `item_run.py` holds the definition of `run_item` and its one request.
    assert found == {"forward.py": 1, "item_run.py": 2, "runner.py": 1}


def test_an_entry_sends_a_cold_endpoint_no_more_than_its_share() -> None:
    # All endpoints of a service have just started. Each of many entries forwards requests to them;
    # only the few that the directory's leader gave a share may send any.
    record = endpoint_in("derby", "scorer")
    gate = gate_with(cold_shares={"e1": 2})

    refusals = [gate.request_refusal(record) for _ in range(3)]

    assert refusals == [None, None, Reason.COLD]
    assert gate.refusal(record, None) is Reason.COLD
    assert gate_with(cold_shares={"e1": 0}).request_refusal(record) is Reason.COLD
    assert gate_with().request_refusal(record) is None


def test_an_entry_out_of_touch_leaves_endpoints_alone_that_may_have_turned_cold() -> None:
    gate = gate_with(view_age_s=10.0)

    assert gate.request_refusal(endpoint_in("derby", "scorer")) is Reason.LEASE_LAPSED
    assert gate.request_refusal(endpoint_in("derby", "archive")) is None
