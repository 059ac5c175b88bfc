from __future__ import annotations

from types import SimpleNamespace

import pytest
from unit.gateway.test_send_gate import ASSIGNMENT, gate_with

from ibisspring_core.clock import boot_now
from ibisspring_core.counters import Counters
from ibisspring_core.messages.directory import Group, Member, View
from ibisspring_core.messages.jobs import Work
from ibisspring_core.settings.vm import ENTRY, VmSettings
from ibisspring_gateway.runner import Runner

SETTINGS = VmSettings("e1", ENTRY, "derby", "10.0.0.1:1", ("10.0.0.2:1",))


def store(name: str, empty: bool) -> Member:
    return Member(f"10.0.2.{name}:1", name, "derby", "disk", empty)


def test_stores_without_a_replica_are_not_asked_for_work() -> None:
    # After the loss of the leader of the jobs log, a runner calls one store after another to find
    # the new leader. Calls to stores without a replica of the log would only cost time, because
    # such stores do not know the leader.
    founders = (store("1", True), store("2", True))
    stores = (store("1", False), *(store(str(number), True) for number in range(5, 25)))
    runner = Runner.from_config(SETTINGS)
    view = View(1, 1, stores=stores, job_group=Group("jobs", founders), job_leader="10.0.2.3:1")
    runner._view = SimpleNamespace(view=view)

    assert runner.job_addresses() == ("10.0.2.3:1", "10.0.2.1:1", "10.0.2.2:1")


class _NoConnections:
    """Connections over which nothing may be sent."""

    def request(self, *arguments):
        pytest.fail("a request was sent")


async def outcome_of(gate, begin_by_s: float) -> str:
    """Give a runner one assignment, and return the kind of the outcome that it reports."""
    runner = Runner.from_config(SETTINGS)
    runner._gate = gate
    runner._view = gate._view
    runner._connections = _NoConnections()
    runner._counters = Counters.from_config(None)
    runner._epoch = 7
    runner._apply_work(Work(7, (ASSIGNMENT,)), begin_by_s)
    await runner._task_by_number[ASSIGNMENT.number]
    (outcome,) = runner._pending_outcomes
    return outcome.kind


async def test_items_that_must_not_be_sent_are_reported_back() -> None:
    # The dispatcher assigned the item before the entry learned of the evacuation, or the assignment
    # was held up. Neither may reach the engine; the dispatcher assigns the item again.
    evacuated = gate_with(evacuated=(ASSIGNMENT.data_centre,))
    assert await outcome_of(evacuated, boot_now() + 1.0) == "turned_away"
    assert await outcome_of(gate_with(), boot_now() - 1.0) == "turned_away"
    assert await outcome_of(gate_with(view_age_s=10.0), boot_now() + 1.0) == "turned_away"
