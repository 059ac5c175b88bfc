from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from fakes.still_server import IdlePeerServer
from ibisspring_consensus.proposals import Committed
from ibisspring_core.clock import boot_now
from ibisspring_core.counters import Counters
from ibisspring_core.errors import Refusal
from ibisspring_core.kernel import Kernel
from ibisspring_core.leader_client import NotLeader
from ibisspring_core.messages.directory import (
    UNKNOWN_INCARNATION,
    Announce,
    Announced,
    Depart,
    Member,
    Renew,
    ReplaceTable,
    Retire,
    Retiring,
    Unchanged,
    View,
)
from ibisspring_core.messages.endpoints import EndpointRecord
from ibisspring_core.routes import RouteTable
from ibisspring_core.settings.vm import CONTROL, VmSettings
from ibisspring_core.timer import TimerService
from ibisspring_directory import retirements, service
from ibisspring_directory.retirements import STORE_RESTART_S
from ibisspring_directory.service import Directory
from ibisspring_directory.sessions import SESSION_ACTIVE_S
from ibisspring_directory.state import DirectoryState

SETTINGS = VmSettings("c1", CONTROL, "derby", "10.0.0.1:1", ("10.0.0.1:1",), announce_every_s=0.1)
REPLICA_HOLDER = Member("10.0.1.2:1", "2", "derby", "disk", empty=False, cluster="jobs")
SPARE_STORE = dataclasses.replace(REPLICA_HOLDER, empty=True, cluster="")
ENGINE = EndpointRecord("e1", 5, 1, "scorer", "engine", "standard", "derby", "10.0.0.9:80")


class _Consensus:
    """Stand-in for the leader's replica; applies each command as soon as it is proposed."""

    name = "consensus"
    is_leader = True
    term = 3
    leader_hint = "10.0.0.2:1"

    async def start(self, kernel: Kernel) -> None:
        self.state = kernel.find("state")
        self.core = self
        self.members = self
        self.voters = ()

    async def stop(self) -> None: ...

    def lease_left_s(self) -> float:
        return 0.5 if self.is_leader else 0.0

    async def propose(self, data: bytes) -> Committed:
        return Committed(1, self.state.apply(1, data))

    async def confirm_read(self) -> int:
        return 1


@asynccontextmanager
async def started(settings: VmSettings) -> AsyncIterator[Directory]:
    directory = Directory(settings)
    services = (TimerService(), Counters.from_config(None), IdlePeerServer(), DirectoryState())
    kernel = Kernel.from_services((*services, _Consensus(), directory))
    await kernel.start()
    directory.start_term()
    yield directory
    await kernel.stop()


@pytest.fixture
async def directory():
    async with started(SETTINGS) as directory:
        yield directory


def renew(name: str, **fields) -> Renew:
    return Renew(f"10.0.1.{name}:1", name, "derby", "s", "entry", **fields)


async def start_waiting_renewal(directory: Directory, view: View, **fields):
    """Start a renewal of entry 1 that waits for a directory view newer than `view`."""
    return asyncio.create_task(
        directory.renew(renew("1", epoch=view.epoch, revision=view.revision, hold_s=5.0, **fields))
    )


async def test_a_change_ends_a_waiting_renewal(directory) -> None:
    view = await directory.renew(renew("1"))
    waiting = await start_waiting_renewal(directory, view)
    await asyncio.sleep(0)
    assert not waiting.done()

    await directory.endpoints.announce(Announce(ENGINE))

    async with asyncio.timeout(5.0):
        assert [placed.record for placed in (await waiting).endpoints] == [ENGINE]


async def test_an_entry_receives_no_updates_about_loads(directory) -> None:
    # The engines together load weights several times a second. If each load ended the entries'
    # waiting renewals, every entry would be sent all endpoints again each time. Only stores with a
    # replica of the jobs' log need to know which engines are loading: one of them is the jobs'
    # leader, which assigns no items of the model to such an engine.
    await directory.endpoints.announce(Announce(ENGINE))
    await directory.renew(dataclasses.replace(renew("2"), role="store", member=REPLICA_HOLDER))
    for _ in range(3):
        # Let the tasks run that the announcement and the store's first renewal have started.
        await asyncio.sleep(0)
    view = await directory.renew(renew("1"))
    entry = await start_waiting_renewal(directory, view)
    store_view = await directory.renew(
        dataclasses.replace(renew("2"), role="store", member=REPLICA_HOLDER)
    )
    newest = {"epoch": store_view.epoch, "revision": store_view.revision, "hold_s": 5.0}
    store = asyncio.create_task(
        directory.renew(
            dataclasses.replace(renew("2", **newest), role="store", member=REPLICA_HOLDER)
        )
    )
    await asyncio.sleep(0)
    assert not store.done()

    directory.endpoints.set_loading(ENGINE.endpoint, "m", is_loading=True)
    directory.endpoints.update_versions(ENGINE, {"m": 9})

    async with asyncio.timeout(5.0):
        updated = await store
    assert updated.loading == ((ENGINE.endpoint, "m"),)
    assert updated.endpoints[0].record.version_by_adapter == {"m": 9}
    assert not entry.done()
    assert view.endpoints[0].record.version_by_adapter == {}

    await directory.endpoints.announce(
        Announce(dataclasses.replace(ENGINE, state="leaving", sequence=ENGINE.sequence + 1))
    )
    async with asyncio.timeout(5.0):
        assert (await entry).endpoints[0].record.state == "leaving"


async def test_a_store_without_a_replica_receives_no_updates_about_loads(directory) -> None:
    # Of thirty stores, five hold a replica of the jobs' log. If the other stores were sent an
    # update about each load of weights as well, these updates would be most of the traffic that
    # control VMs send to other data centres.
    spare = dataclasses.replace(renew("2"), role="store", member=SPARE_STORE)
    await directory.endpoints.announce(Announce(ENGINE))
    await directory.renew(spare)
    for _ in range(3):
        await asyncio.sleep(0)
    view = await directory.renew(spare)
    newest = {"epoch": view.epoch, "revision": view.revision, "hold_s": 5.0}
    waiting = asyncio.create_task(directory.renew(dataclasses.replace(spare, **newest)))
    await asyncio.sleep(0)

    directory.endpoints.set_loading(ENGINE.endpoint, "m", is_loading=True)
    for _ in range(3):
        await asyncio.sleep(0)
    assert not waiting.done()

    waiting.cancel()


async def test_a_store_that_becomes_a_member_receives_the_loads_at_once(directory) -> None:
    # A store becomes a member of the jobs' log and may be its next leader. If it did not know which
    # engines are loading weights, it would dispatch items to them.
    spare = dataclasses.replace(renew("2"), role="store", member=SPARE_STORE)
    await directory.endpoints.announce(Announce(ENGINE))
    directory.endpoints.set_loading(ENGINE.endpoint, "m", is_loading=True)
    await directory.renew(spare)
    for _ in range(3):
        await asyncio.sleep(0)
    view = await directory.renew(spare)
    assert view.loading == ()

    newest = {"epoch": view.epoch, "revision": view.revision, "hold_s": 5.0}
    async with asyncio.timeout(1.0):
        updated = await directory.renew(dataclasses.replace(spare, member=REPLICA_HOLDER, **newest))
    assert updated.loading == ((ENGINE.endpoint, "m"),)


async def test_control_vms_receive_no_view(directory) -> None:
    # Control VMs renew twice a second only to keep their sessions active. They read the directory's
    # state from their own replica of its log, so a view would be sent to them for nothing.
    control = dataclasses.replace(renew("3"), role=CONTROL, member=REPLICA_HOLDER)

    assert isinstance(await directory.renew(control), Unchanged)


async def test_a_renewal_without_a_change_ends_after_the_hold(directory) -> None:
    view = await directory.renew(renew("1"))
    unchanged = renew("1", epoch=view.epoch, revision=view.revision, hold_s=0.01)

    assert isinstance(await directory.renew(unchanged), Unchanged)


async def test_an_operator_is_answered_once_all_active_entries_have_the_change(directory) -> None:
    # An operator replaces the route table. If the answer were sent before all active entries use
    # the new table, an entry would still forward requests by the old route after the answer.
    directory.led_since = boot_now() - 2 * SESSION_ACTIVE_S
    await directory.renew(renew("1"))
    order = ReplaceTable(RouteTable(4), b"document")
    answer = asyncio.create_task(directory.tables.replace(order))
    await asyncio.sleep(0)
    view = await directory.renew(renew("1"))
    assert view.table == RouteTable(4)
    assert not answer.done()

    await directory.renew(renew("1", table_version=4))

    async with asyncio.timeout(5.0):
        assert (await answer).version == 4


async def test_a_departure_without_incarnation_ends_the_newest_known_one(directory) -> None:
    # Engines announce their departure with an empty body, which states no incarnation. If such an
    # announcement were rejected, requests would still be sent to the engine for seconds.
    await directory.endpoints.announce(Announce(ENGINE))

    assert isinstance(
        await directory.endpoints.depart(Depart("e1", UNKNOWN_INCARNATION)), Announced
    )

    delayed = dataclasses.replace(ENGINE, sequence=9)
    await directory.endpoints.announce(Announce(delayed))
    assert directory.endpoints.table.serving("scorer", boot_now()) == ()
    restarted = dataclasses.replace(ENGINE, incarnation=6)
    await directory.endpoints.announce(Announce(restarted))
    assert directory.endpoints.table.serving("scorer", boot_now()) == (restarted,)


async def test_a_new_leader_refuses_the_departure_of_an_endpoint_it_does_not_know(
    directory,
) -> None:
    # An endpoint departs before the new leader has received an announcement of it, while entries
    # still send requests to it. If the departure were acknowledged without an effect, entries would
    # continue to send requests to the endpoint.
    directory.endpoints.start_term(boot_now() + 60.0)
    assert isinstance(await directory.endpoints.depart(Depart("e1", UNKNOWN_INCARNATION)), Refusal)

    directory.endpoints.start_term(boot_now() - 10.0)
    assert isinstance(
        await directory.endpoints.depart(Depart("e1", UNKNOWN_INCARNATION)), Announced
    )


async def test_a_departure_is_kept_across_a_leader_change(directory) -> None:
    # An endpoint departs, and a delayed announcement of it with the state `serving` reaches the
    # next leader. Without a replicated record of the departure, this leader would let entries send
    # requests to the endpoint again.
    await directory.endpoints.announce(Announce(ENGINE))
    await directory.endpoints.depart(Depart("e1", UNKNOWN_INCARNATION))
    directory.consensus.term = 4
    directory.start_term()

    await directory.endpoints.announce(Announce(dataclasses.replace(ENGINE, sequence=9)))

    assert directory.endpoints.table.records() == ()


async def test_a_new_leader_lists_the_endpoints_announced_to_its_predecessor(directory) -> None:
    # All daemons are restarted at the same moment. Without the replicated records of the endpoints,
    # every request would be rejected until each endpoint has announced itself again, which takes
    # seconds, although all endpoints serve.
    await directory.endpoints.announce(Announce(ENGINE))
    await asyncio.sleep(0)
    directory.consensus.term = 4
    directory.start_term()

    view = await directory.renew(renew("1"))

    assert [placed.record for placed in view.endpoints] == [ENGINE]


async def test_versions_of_an_incarnation_never_decrease(directory) -> None:
    # An announcement that an engine sent before a load of weights finished arrives after the load
    # and contains the old version. If the old version replaced the new one, the load would be
    # ordered a second time.
    first = dataclasses.replace(ENGINE, version_by_adapter={"m": 1})
    await directory.endpoints.announce(Announce(first))
    directory.endpoints.update_versions(first, {"m": 2})

    await directory.endpoints.announce(Announce(dataclasses.replace(first, sequence=2)))

    assert directory.endpoints.table.record_of("e1").version_by_adapter == {"m": 2}


async def test_a_follower_names_the_leader(directory) -> None:
    directory.consensus.is_leader = False

    assert await directory.renew(renew("1")) == NotLeader("10.0.0.2:1")


def set_boot_clock(monkeypatch, now: float) -> None:
    for module in (service, retirements):
        monkeypatch.setattr(module, "boot_now", lambda: now)


async def renew_stores(directory: Directory, *names: str) -> None:
    for name in names:
        member = dataclasses.replace(REPLICA_HOLDER, address=f"10.0.1.{name}:1", daemon=name)
        await directory.renew(dataclasses.replace(renew(name), role="store", member=member))


async def test_a_short_absence_of_a_store_does_not_end_a_retirement(directory, monkeypatch) -> None:
    # An operator retires a store while another store restarts. If the restarting store were counted
    # as lost, the operator would receive the final answer that there are too few stores.
    started_s = boot_now()
    await renew_stores(directory, "1", "2", "3", "4")
    set_boot_clock(monkeypatch, started_s + SESSION_ACTIVE_S + 0.5)
    await renew_stores(directory, "1", "2", "3")

    refusal = await directory.retirements.retire(Retire("1", begin=True))
    assert isinstance(refusal, Refusal)
    assert refusal.not_run

    await renew_stores(directory, "4")
    assert await directory.retirements.retire(Retire("1", begin=True)) == Retiring("active")


async def test_a_retirement_is_completed_once_the_jobs_leader_knows_of_it(directory) -> None:
    # The leader of the jobs' log has not heard of the retirement yet and may be choosing the store
    # as a new replica. The operator would take the VM away together with that replica's disk.
    async def lead_jobs(job_members: tuple[str, ...], **fields) -> View:
        member = dataclasses.replace(REPLICA_HOLDER, address="10.0.1.2:1", daemon="2")
        fields |= {"role": "store", "member": member, "leads_jobs": True}
        return await directory.renew(
            dataclasses.replace(renew("2"), job_members=job_members, **fields)
        )

    others = ("10.0.1.2:1", "10.0.1.3:1", "10.0.1.4:1")
    await renew_stores(directory, "1", "2", "3", "4")
    view = await lead_jobs(others)
    assert await directory.retirements.retire(Retire("1", begin=True)) == Retiring("active")

    view = await lead_jobs(others, epoch=view.epoch, revision=view.revision)
    assert await directory.retirements.retire(Retire("1", begin=False)) == Retiring("active")
    assert view.retiring == ("10.0.1.1:1",)
    known = {"epoch": view.epoch, "revision": view.revision}
    await lead_jobs((*others, "10.0.1.1:1"), **known)
    assert await directory.retirements.retire(Retire("1", begin=False)) == Retiring("active")
    await lead_jobs(others, **known)
    assert await directory.retirements.retire(Retire("1", begin=False)) == Retiring("completed")


async def test_a_store_without_renewals_past_the_restart_limit_counts_as_lost(
    directory, monkeypatch
) -> None:
    # A store is permanently lost, and an operator retires another one, of which there are too few.
    # If the lost store were still expected, the operator would retry and wait for it in vain.
    started_s = boot_now()
    await renew_stores(directory, "1", "2", "3", "4")
    set_boot_clock(monkeypatch, started_s + STORE_RESTART_S + 0.5)
    await renew_stores(directory, "1", "2", "3")

    assert await directory.retirements.retire(Retire("1", begin=True)) == Retiring("too_few")


async def test_a_retirement_leaves_enough_stores_for_the_configured_losses() -> None:
    # The settings require that two of the five stores may be lost at once. The four stores that a
    # retirement would leave could hold a log of three members, which survives the loss of only one.
    async with started(dataclasses.replace(SETTINGS, losses=2)) as directory:
        directory.led_since -= SESSION_ACTIVE_S
        await renew_stores(directory, "1", "2", "3", "4", "5")

        assert await directory.retirements.retire(Retire("1", begin=True)) == Retiring("too_few")


async def test_a_new_leader_does_not_report_too_few_stores_before_all_can_have_renewed(
    directory,
) -> None:
    # An operator retires a store during a change of the directory's leader. The new leader has
    # received renewals of only some stores. If it counted the others as lost, the operator would
    # receive the final answer that there are too few stores.
    await renew_stores(directory, "1", "2", "3")

    assert isinstance(await directory.retirements.retire(Retire("1", begin=True)), Refusal)


async def test_a_store_not_renewed_since_a_leader_change_is_unknown_only_after_a_limit(
    directory, monkeypatch
) -> None:
    # An operator retires a store that restarts during a change of the directory's leader. If the
    # new leader did not wait for the store's renewal, the operator would receive the answer that no
    # such store exists.
    started_s = boot_now()
    set_boot_clock(monkeypatch, started_s + SESSION_ACTIVE_S + 0.5)
    await renew_stores(directory, "1", "2", "3")
    assert isinstance(await directory.retirements.retire(Retire("4", begin=True)), Refusal)

    set_boot_clock(monkeypatch, started_s + STORE_RESTART_S + 0.5)
    assert await directory.retirements.retire(Retire("4", begin=True)) == Retiring("unknown")
