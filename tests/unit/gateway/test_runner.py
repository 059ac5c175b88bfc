from __future__ import annotations

from types import SimpleNamespace

from ibisspring_core.messages.directory import Group, Member, View
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
