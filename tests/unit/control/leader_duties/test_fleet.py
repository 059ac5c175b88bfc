from __future__ import annotations

import json
from dataclasses import dataclass, field
from types import SimpleNamespace

import pytest

from ibisspring_control.leader_duties.fleet import START_TIMEOUT_S, TABLE_SYNC_S, Fleet
from ibisspring_control.leader_duties.orders import OrderEnd
from ibisspring_control.state.orders import Order
from ibisspring_core.messages.commands import DrainEndpoint
from ibisspring_core.messages.endpoints import EndpointRecord
from ibisspring_core.rules import Rules
from ibisspring_core.rules.model import Placement

READY_S = TABLE_SYNC_S + 1.0
WALL_S = 1_000_000.0


@dataclass
class _System:
    """Stand-in for the entry leases, the state and the orders that `Fleet` uses."""

    endpoint_by_id: dict[str, EndpointRecord] = field(default_factory=dict)
    entries: tuple[str, ...] = ("e1",)
    order_by_id: dict[str, Order] = field(default_factory=dict)
    drain_by_endpoint: dict[str, object] = field(default_factory=dict)
    outcome: str = "done"
    sent: list[dict] = field(default_factory=list)

    def live_leases(self) -> tuple[str, ...]:
        return self.entries

    async def send(self, leadership, receiver: str, order_id: str, order: dict) -> OrderEnd:
        self.sent.append(order)
        body = json.dumps(order).encode()
        number = len(self.sent)
        outcome = "done" if self.outcome == "done" else "refused"
        self.order_by_id[order_id] = Order(
            order_id, receiver, body, number, number, WALL_S, outcome
        )
        return OrderEnd(self.outcome)

    def announce(self, endpoint: str, order: dict) -> None:
        """Put an endpoint with the kind and data centre of an order into the endpoint table."""
        self.endpoint_by_id[endpoint] = EndpointRecord(
            endpoint, 1, 1, "lm", "engine", order["kind"], order["data_centre"], "127.0.0.1:1"
        )


@pytest.fixture
def system() -> _System:
    return _System()


@pytest.fixture
def fleet(system, control, counters) -> Fleet:
    placement = Placement("lm", ("derby", "stoke"), 4, 0.5)
    state = SimpleNamespace(
        rules=SimpleNamespace(rules=Rules(placement_by_service={"lm": placement})),
        orders=system,
        drains=system,
    )
    return Fleet(control, state, system, system, counters)


async def test_a_new_leader_orders_nothing_from_an_incomplete_endpoint_table(
    fleet, system, leadership
) -> None:
    # The endpoint table of a new leader is empty until entries renew their leases, and while no
    # entry has a lease. If the leader planned from the empty table, it would order the complete
    # fleet again.
    await fleet.run(leadership, TABLE_SYNC_S - 1.0, WALL_S)
    system.entries = ()
    await fleet.run(leadership, READY_S, WALL_S)

    assert system.sent == []


async def test_an_ordered_endpoint_counts_until_it_announces_itself_or_times_out(
    fleet, system, leadership
) -> None:
    # Endpoints take a minute to start. If the leader counted only the endpoints that announced
    # themselves, it would order the missing ones again with each plan.
    await fleet.run(leadership, READY_S, WALL_S)
    await fleet.run(leadership, READY_S + 1.0, WALL_S + 1.0)
    assert len(system.sent) == 4
    for number, order in enumerate(system.sent[:3]):
        system.announce(f"lm-{number}", order)
    await fleet.run(leadership, READY_S + 60.0, WALL_S + 60.0)
    assert len(system.sent) == 4

    # The fourth endpoint never announced itself; it is ordered again after START_TIMEOUT_S.
    late_s = START_TIMEOUT_S + 1.0
    await fleet.run(leadership, READY_S + late_s, WALL_S + late_s)

    assert len(system.sent) == 5


async def test_a_reclaimed_endpoint_is_replaced_by_the_standard_kind(
    fleet, system, leadership, counters
) -> None:
    # The platform reclaims both cheap endpoints of derby at the same time. If they were replaced by
    # cheap endpoints in derby, these would be reclaimed again.
    for number in range(4):
        kind = "cheap" if number < 2 else "standard"
        system.announce(f"lm-{number}", {"kind": kind, "data_centre": "derby"})
    await fleet.run(leadership, READY_S, WALL_S)
    del system.endpoint_by_id["lm-0"]
    del system.endpoint_by_id["lm-1"]

    await fleet.run(leadership, READY_S + 1.0, WALL_S + 1.0)

    places = [(order["data_centre"], order["kind"]) for order in system.sent]
    assert ("derby", "cheap") not in places
    assert len(places) == 2
    assert counters.count_by_name["endpoint.lost"] == 2


async def test_a_surplus_is_drained_and_never_stopped_outright(
    fleet, system, control, leadership
) -> None:
    for number in range(5):
        kind = "cheap" if number < 2 else "standard"
        centre = "derby" if number % 2 else "stoke"
        system.announce(f"lm-{number}", {"kind": kind, "data_centre": centre})
    await fleet.run(leadership, READY_S, WALL_S)

    await fleet.run(leadership, READY_S + 61.0, WALL_S + 61.0)

    assert system.sent == []
    (drain,) = control.commands
    assert isinstance(drain, DrainEndpoint)
    assert not drain.cancel
