"""The service `fleet` of the directory's leader, with a platform that accepts each order."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from ibisspring_core.counters import Counters
from ibisspring_core.endpoint_table import SERVING
from ibisspring_core.guarded_http import HttpAnswer
from ibisspring_core.routes import RouteTable, ServiceTerms
from ibisspring_core.routes.model import ScalingTerms
from ibisspring_core.settings.policy import LoadPolicy
from ibisspring_core.settings.vm import CONTROL, VmSettings
from ibisspring_directory.fleet import Fleet

SCALING = ScalingTerms(1, 4, 4.0, 1.0, {"derby": 1.0, "stoke": 2.0})
TERMS = ServiceTerms("scorer", 100, 2, scaling=SCALING)
INITIAL = 3


class _Directory:
    """Stand-in for the directory, the duties and the platform's interface."""

    def __init__(self, policy: LoadPolicy) -> None:
        self.counters = Counters.from_config(None)
        self.count_by_data_centre = {"derby": 2}
        self.demand = 0
        self.ordered: list[tuple[str, int]] = []
        self.fleet = Fleet.from_config(
            VmSettings("c1", CONTROL, "derby", "10.0.0.1:1", (), scales=True, policy=policy)
        )
        table = RouteTable(1, services=(TERMS,))
        self.fleet._directory = SimpleNamespace(
            state=SimpleNamespace(table=table, evacuated=(), fleet_by_service={"scorer": INITIAL}),
            led_since=0.0,
            sessions=SimpleNamespace(demand=lambda service, now: self.demand),
            endpoints=SimpleNamespace(table=SimpleNamespace(records=self._records)),
        )
        self.fleet._duties = SimpleNamespace(
            may_order=lambda: True, sender=lambda: "c1", send=self._send
        )
        self.fleet._outside = SimpleNamespace(fleet_order=lambda order, sender: order)
        self.fleet._counters = self.counters

    def _records(self) -> list:
        return [
            SimpleNamespace(
                record=SimpleNamespace(service="scorer", state=SERVING, data_centre=name)
            )
            for name, count in self.count_by_data_centre.items()
            for _ in range(count)
        ]

    async def _send(self, order, timeout_s: float) -> HttpAnswer:
        self.ordered.append((order.data_centre, order.count))
        self.count_by_data_centre[order.data_centre] = order.count
        return HttpAnswer(200, b"")


@pytest.fixture
def limited(monkeypatch) -> list[dict]:
    """Return the fields of the lines `fleet:limited`."""
    found: list[dict] = []

    def log(message: str, **fields) -> None:
        if message == "fleet:limited":
            found.append(fields)

    monkeypatch.setattr("ibisspring_directory.fleet.eliot.log_message", log)
    return found


async def test_the_fleet_grows_up_to_the_operators_limit_and_says_once_what_is_missing(
    limited,
) -> None:
    # The demand asks for more engines than the operator allows. Each tick must not log it again.
    directory = _Directory(LoadPolicy(most_engines=4))
    directory.demand = 16

    for tick in range(10):
        await directory.fleet._tick(10.0 + tick)

    assert sum(directory.count_by_data_centre.values()) == 4
    assert directory.ordered == [("derby", 4)]
    assert [line["missing"] for line in limited] == [2]
    directory.demand = 0
    await directory.fleet._tick(20.0)
    assert [line["missing"] for line in limited] == [2, 0]
    assert directory.counters.count_by_name["fleet.limited"] == 1


async def test_a_limit_of_the_price_counts_the_prices_of_all_data_centres(limited) -> None:
    directory = _Directory(LoadPolicy(most_price=6.5))
    directory.demand = 16

    for tick in range(10):
        await directory.fleet._tick(10.0 + tick)

    assert directory.count_by_data_centre == {"derby": 4, "stoke": 1}
    assert limited[-1]["missing"] == 1


async def test_a_limit_below_the_fleet_stops_no_engine(limited) -> None:
    directory = _Directory(LoadPolicy(most_engines=1))

    await directory.fleet._tick(10.0)

    assert directory.ordered == []
    assert limited[-1]["missing"] == 1


async def test_without_a_limit_nothing_is_limited(limited) -> None:
    directory = _Directory(LoadPolicy())
    directory.demand = 100

    for tick in range(10):
        await directory.fleet._tick(10.0 + tick)

    assert directory.count_by_data_centre == {"derby": 4, "stoke": 4}
    assert limited == []
