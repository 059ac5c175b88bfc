from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from fakes.still_server import StillServer
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
from ibisspring_directory import service
from ibisspring_directory.service import Directory
from ibisspring_directory.sessions import IN_TOUCH_S
from ibisspring_directory.state import DirectoryState

SETTINGS = VmSettings("c1", CONTROL, "derby", "10.0.0.1:1", ("10.0.0.1:1",), announce_every_s=0.1)
HOLDER = Member("10.0.1.2:1", "2", "derby", "disk", empty=False, cluster="jobs")
SPARE = dataclasses.replace(HOLDER, empty=True, cluster="")
ENGINE = EndpointRecord("e1", 5, 1, "scorer", "engine", "standard", "derby", "10.0.0.9:80")


class _Consensus:
    """Stand-in: leads, and applies at once."""

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
    services = (TimerService(), Counters.from_config(None), StillServer(), DirectoryState())
    kernel = Kernel.from_services((*services, _Consensus(), directory))
    await kernel.start()
    directory.begin_term()
    yield directory
    await kernel.stop()


@pytest.fixture
async def directory():
    async with started(SETTINGS) as directory:
        yield directory


def renew(name: str, **fields) -> Renew:
    return Renew(f"10.0.1.{name}:1", name, "derby", "s", "entry", **fields)


async def held(directory: Directory, view: View, **fields):
    """A renewal that waits for something new."""
    return asyncio.create_task(
        directory.renew(renew("1", epoch=view.epoch, revision=view.revision, hold_s=5.0, **fields))
    )


async def test_a_change_reaches_a_daemon_that_waits(directory) -> None:
    view = await directory.renew(renew("1"))
    waiting = await held(directory, view)
    await asyncio.sleep(0)
    assert not waiting.done()

    await directory.endpoints.announce(Announce(ENGINE))

    async with asyncio.timeout(5.0):
        assert [placed.record for placed in (await waiting).endpoints] == [ENGINE]


async def test_an_entry_is_told_only_of_what_it_uses(directory) -> None:
    # Engines load weights several times a second. Each entry woken by each of these would get all
    # endpoints anew; the stores, whose leader hands out the items, need them.
    await directory.endpoints.announce(Announce(ENGINE))
    await directory.renew(dataclasses.replace(renew("2"), role="store", member=HOLDER))
    for _ in range(3):
        # What the announcement and the store's coming set off.
        await asyncio.sleep(0)
    view = await directory.renew(renew("1"))
    entry = await held(directory, view)
    store_view = await directory.renew(dataclasses.replace(renew("2"), role="store", member=HOLDER))
    same = {"epoch": store_view.epoch, "revision": store_view.revision, "hold_s": 5.0}
    store = asyncio.create_task(
        directory.renew(dataclasses.replace(renew("2", **same), role="store", member=HOLDER))
    )
    await asyncio.sleep(0)
    assert not store.done()

    directory.endpoints.note_loading(ENGINE.endpoint, "m", loads=True)
    directory.endpoints.learn_versions(ENGINE, {"m": 9})

    async with asyncio.timeout(5.0):
        told = await store
    assert told.loading == ((ENGINE.endpoint, "m"),)
    assert told.endpoints[0].record.version_by_adapter == {"m": 9}
    assert not entry.done()
    assert view.endpoints[0].record.version_by_adapter == {}

    await directory.endpoints.announce(
        Announce(dataclasses.replace(ENGINE, state="leaving", sequence=ENGINE.sequence + 1))
    )
    async with asyncio.timeout(5.0):
        assert (await entry).endpoints[0].record.state == "leaving"


async def test_a_store_without_a_replica_is_told_only_of_what_entries_are(directory) -> None:
    # Of thirty stores five hold the jobs' log; told of each load, the others were most of what
    # control sends to other data centres.
    spare = dataclasses.replace(renew("2"), role="store", member=SPARE)
    await directory.endpoints.announce(Announce(ENGINE))
    await directory.renew(spare)
    for _ in range(3):
        await asyncio.sleep(0)
    view = await directory.renew(spare)
    same = {"epoch": view.epoch, "revision": view.revision, "hold_s": 5.0}
    waiting = asyncio.create_task(directory.renew(dataclasses.replace(spare, **same)))
    await asyncio.sleep(0)

    directory.endpoints.note_loading(ENGINE.endpoint, "m", loads=True)
    for _ in range(3):
        await asyncio.sleep(0)
    assert not waiting.done()

    waiting.cancel()


async def test_a_store_that_becomes_a_member_is_told_the_loads_at_once(directory) -> None:
    # It may lead the jobs' log next, and would hand items to engines that load.
    spare = dataclasses.replace(renew("2"), role="store", member=SPARE)
    await directory.endpoints.announce(Announce(ENGINE))
    directory.endpoints.note_loading(ENGINE.endpoint, "m", loads=True)
    await directory.renew(spare)
    for _ in range(3):
        await asyncio.sleep(0)
    view = await directory.renew(spare)
    assert view.loading == ()

    same = {"epoch": view.epoch, "revision": view.revision, "hold_s": 5.0}
    async with asyncio.timeout(1.0):
        told = await directory.renew(dataclasses.replace(spare, member=HOLDER, **same))
    assert told.loading == ((ENGINE.endpoint, "m"),)


async def test_control_vms_are_not_sent_a_view(directory) -> None:
    # They renew twice a second to be known, and read the directory's state from their own log.
    control = dataclasses.replace(renew("3"), role=CONTROL, member=HOLDER)

    assert isinstance(await directory.renew(control), Unchanged)


async def test_nothing_new_is_told_after_the_hold(directory) -> None:
    view = await directory.renew(renew("1"))
    unchanged = renew("1", epoch=view.epoch, revision=view.revision, hold_s=0.01)

    assert isinstance(await directory.renew(unchanged), Unchanged)


async def test_an_operator_is_answered_once_the_entries_in_touch_have_the_change(directory) -> None:
    # Answered earlier, requests sent after the answer would still go the old way at one entry.
    directory.led_since = boot_now() - 2 * IN_TOUCH_S
    await directory.renew(renew("1"))
    order = ReplaceTable(RouteTable(4), b"document")
    answer = asyncio.create_task(directory.replace_table(order))
    await asyncio.sleep(0)
    view = await directory.renew(renew("1"))
    assert view.table == RouteTable(4)
    assert not answer.done()

    await directory.renew(renew("1", table_version=4))

    async with asyncio.timeout(5.0):
        assert (await answer).version == 4


async def test_a_departure_without_a_start_ends_the_newest_that_is_known(directory) -> None:
    # Engines leave with an empty body; not understood, requests would go on to them for seconds.
    await directory.endpoints.announce(Announce(ENGINE))

    assert isinstance(
        await directory.endpoints.depart(Depart("e1", UNKNOWN_INCARNATION)), Announced
    )

    late = dataclasses.replace(ENGINE, sequence=9)
    await directory.endpoints.announce(Announce(late))
    assert directory.endpoints.table.serving("scorer", boot_now()) == ()
    again = dataclasses.replace(ENGINE, incarnation=6)
    await directory.endpoints.announce(Announce(again))
    assert directory.endpoints.table.serving("scorer", boot_now()) == (again,)


async def test_a_new_leader_asks_to_hear_of_a_departure_again(directory) -> None:
    # It has not heard the endpoint yet, while entries still send requests there.
    directory.endpoints.begin(boot_now() + 60.0)
    assert isinstance(await directory.endpoints.depart(Depart("e1", UNKNOWN_INCARNATION)), Refusal)

    directory.endpoints.begin(boot_now() - 10.0)
    assert isinstance(
        await directory.endpoints.depart(Depart("e1", UNKNOWN_INCARNATION)), Announced
    )


async def test_a_departure_outlives_the_leader_that_heard_it(directory) -> None:
    # A "serving" that was held up on its way reaches the next leader, which knows nothing of the
    # departure, and the endpoint gets requests again.
    await directory.endpoints.announce(Announce(ENGINE))
    await directory.endpoints.depart(Depart("e1", UNKNOWN_INCARNATION))
    directory.consensus.term = 4
    directory.begin_term()

    await directory.endpoints.announce(Announce(dataclasses.replace(ENGINE, sequence=9)))

    assert directory.endpoints.table.heard() == ()


async def test_a_new_leader_knows_the_endpoints_that_joined(directory) -> None:
    # All processes end at the same moment. Until each endpoint has announced itself again, which
    # takes seconds, every caller would be refused though all endpoints serve.
    await directory.endpoints.announce(Announce(ENGINE))
    await asyncio.sleep(0)
    directory.consensus.term = 4
    directory.begin_term()

    view = await directory.renew(renew("1"))

    assert [placed.record for placed in view.endpoints] == [ENGINE]


async def test_versions_of_a_start_never_go_back(directory) -> None:
    # An announcement that was on its way while the engine loaded says the old version; the load
    # would be ordered a second time.
    first = dataclasses.replace(ENGINE, version_by_adapter={"m": 1})
    await directory.endpoints.announce(Announce(first))
    directory.endpoints.learn_versions(first, {"m": 2})

    await directory.endpoints.announce(Announce(dataclasses.replace(first, sequence=2)))

    assert directory.endpoints.table.record_of("e1").version_by_adapter == {"m": 2}


async def test_who_does_not_lead_says_who_may(directory) -> None:
    directory.consensus.is_leader = False

    assert await directory.renew(renew("1")) == NotLeader("10.0.0.2:1")


async def renew_stores(directory: Directory, *names: str) -> None:
    for name in names:
        member = dataclasses.replace(HOLDER, address=f"10.0.1.{name}:1", daemon=name)
        await directory.renew(dataclasses.replace(renew(name), role="store", member=member))


async def test_a_store_that_is_silent_for_a_moment_ends_no_retirement(
    directory, monkeypatch
) -> None:
    # An operator who empties a store while another one restarts is told for good that there are
    # too few.
    began = boot_now()
    await renew_stores(directory, "1", "2", "3", "4")
    monkeypatch.setattr(service, "boot_now", lambda: began + IN_TOUCH_S + 0.5)
    await renew_stores(directory, "1", "2", "3")

    refusal = await directory.retire(Retire("1", begin=True))
    assert isinstance(refusal, Refusal)
    assert refusal.not_run

    await renew_stores(directory, "4")
    assert await directory.retire(Retire("1", begin=True)) == Retiring("active")


async def test_a_store_that_is_gone_counts_as_one_too_few(directory, monkeypatch) -> None:
    # An operator who empties one of too few stores waits for a store that never comes back.
    began = boot_now()
    await renew_stores(directory, "1", "2", "3", "4")
    monkeypatch.setattr(service, "boot_now", lambda: began + service.STORE_BACK_S + 0.5)
    await renew_stores(directory, "1", "2", "3")

    assert await directory.retire(Retire("1", begin=True)) == Retiring("too_few")


async def test_enough_stores_stay_for_the_losses_to_be_borne() -> None:
    # Where two stores may be lost at once, three that stay bear one loss.
    async with started(dataclasses.replace(SETTINGS, losses=2)) as directory:
        directory.led_since -= IN_TOUCH_S
        await renew_stores(directory, "1", "2", "3", "4", "5")

        assert await directory.retire(Retire("1", begin=True)) == Retiring("too_few")


async def test_a_new_leader_does_not_yet_say_that_there_are_too_few_stores(directory) -> None:
    # An operator who empties a store while control changes its leader is refused for good: the new
    # leader has heard only some of the stores.
    await renew_stores(directory, "1", "2", "3")

    assert isinstance(await directory.retire(Retire("1", begin=True)), Refusal)


async def test_a_store_silent_since_the_change_of_leader_is_not_unknown(
    directory, monkeypatch
) -> None:
    # An operator who empties a store that restarts while control changes its leader is told that
    # no such store exists.
    began = boot_now()
    monkeypatch.setattr(service, "boot_now", lambda: began + IN_TOUCH_S + 0.5)
    await renew_stores(directory, "1", "2", "3")
    assert isinstance(await directory.retire(Retire("4", begin=True)), Refusal)

    monkeypatch.setattr(service, "boot_now", lambda: began + service.STORE_BACK_S + 0.5)
    assert await directory.retire(Retire("4", begin=True)) == Retiring("unknown")
