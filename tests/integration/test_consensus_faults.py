"""Control replicas as real processes under kills, freezes and cuts."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import pytest

from integration.processes import wait_until
from integration.proxy import Mode
from integration.replicas import Replicas

# Slow elections, so that a busy machine does not elect by itself where a test asserts that none is
# held.
SLOW = {
    "heartbeat_s": 0.3,
    "election_timeout_s": 3.0,
    "leader_lease_s": 2.0,
    "entry_lease_s": 8.0,
}
PATH_DELAY_S = 0.03
LONG_CUT_S = 3 * SLOW["election_timeout_s"]


@asynccontextmanager
async def founded(folder, proxies=False, delay_s=0.0, **control):
    """Three replicas that lead and follow; all are killed at the end."""
    replicas = Replicas.from_count(folder, 3, **control)
    try:
        if proxies:
            await replicas.add_proxies()
        for proxy in replicas.proxy_by_path.values():
            proxy.delay_s = delay_s
        await replicas.found()
        yield replicas
    finally:
        replicas.stop_all()


class Writers:
    """Lines written by tasks until they are stopped; `accepted` are those that got their answer."""

    def __init__(self, replicas: Replicas) -> None:
        self.replicas = replicas
        self.accepted: list[str] = []
        self.stopping = False
        self.tasks: list[asyncio.Task] = []

    def start(self, count: int) -> None:
        self.tasks = [asyncio.create_task(self._write(number)) for number in range(count)]

    async def _write(self, writer: int) -> None:
        number = 0
        while not self.stopping:
            number += 1
            line = f"writer {writer} line {number}"
            await self.replicas.accept(line)
            self.accepted.append(line)

    async def more(self, count: int) -> None:
        """Wait until this many more lines were accepted."""
        goal = len(self.accepted) + count
        await wait_until(lambda: len(self.accepted) >= goal, f"{goal} accepted lines")

    async def stop(self) -> None:
        self.stopping = True
        await asyncio.gather(*self.tasks)


async def followers(replicas: Replicas) -> list[str]:
    leader = await replicas.leader()
    return [daemon for daemon in replicas.http_by_daemon if daemon != leader]


async def terms(replicas: Replicas, daemons) -> set[int]:
    return {(await replicas.local(daemon))["term"] for daemon in daemons}


async def assert_all_hold(replicas: Replicas, lines: list[str]) -> None:
    """Every replica comes to hold all lines, each index applied once and in the same place."""
    for daemon in replicas.http_by_daemon:
        await replicas.wait_lines(daemon, lines)
    states = [await replicas.local(daemon) for daemon in replicas.http_by_daemon]
    shortest = min(len(state["lines"]) for state in states)
    assert all(state["lines"][:shortest] == states[0]["lines"][:shortest] for state in states)
    for state in states:
        assert state["indexes"] == sorted(set(state["indexes"]))


async def test_leader_killed_amid_writes_loses_nothing_accepted(tmp_path) -> None:
    """
    An operator's command was answered "accepted" and is gone after the control leader's VM crashed.

    Eight writers keep writing; the leader is killed with kill -9 and starts again, three times.
    Cause: an answer that was given before a majority had synced the entry.
    """
    # Slow paths: what was answered too early is still on its way when the leader dies.
    async with founded(tmp_path, proxies=True, delay_s=PATH_DELAY_S) as replicas:
        writers = Writers(replicas)
        writers.start(8)
        for _ in range(3):
            await writers.more(40)
            leader = await replicas.leader()
            replicas.process(leader).kill()
            await writers.more(20)
            replicas.start(leader)
            await replicas.wait_up(leader)
        await writers.stop()
        await assert_all_hold(replicas, writers.accepted)


async def test_frozen_leader_believes_nothing_old_after_it_thaws(tmp_path) -> None:
    """
    A key that was withdrawn is confirmed as good by a control VM that had been suspended.

    The leader is stopped with SIGSTOP, another is elected and accepts a line, the old one goes on.
    Cause: a read answered from the state of before the stop, under a lease that is over.
    """
    async with founded(tmp_path) as replicas:
        await replicas.accept("before")
        old = await replicas.leader()
        replicas.process(old).freeze()
        asked = asyncio.create_task(replicas.read(old))
        new = await replicas.leader(but=old)
        await replicas.accept("after", but=old)
        replicas.process(old).thaw()
        answer = await asked
        assert answer is None or "after" in answer.get("lines", ["after"])
        local = await replicas.local(old)
        assert local["lease_left_s"] == 0 or local["term"] > 1
        assert new != old
        await assert_all_hold(replicas, ["before", "after"])


@pytest.mark.parametrize(("inward", "outward"), [(True, True), (True, False), (False, True)])
async def test_long_cut_follower_rejoins_without_disturbing(tmp_path, inward, outward) -> None:
    """
    A control VM comes back from a long partition, and every order and rules change stalls for an
    election.

    One follower hears nothing, or is not heard, or both, for several election timeouts. Cause: it
    raises its term with each vain candidacy, and the healthy leader has to step down for it.
    """
    async with founded(tmp_path, proxies=True, **SLOW) as replicas:
        leader = await replicas.leader()
        cut = (await followers(replicas))[0]
        before = await terms(replicas, replicas.http_by_daemon)
        for proxy in replicas.paths_of(cut, inward, outward):
            await proxy.silence()
        await asyncio.sleep(LONG_CUT_S)
        await replicas.accept("during the cut")
        for proxy in replicas.paths_of(cut, inward, outward):
            await proxy.heal()
        await replicas.wait_lines(cut, ["during the cut"])
        await asyncio.sleep(SLOW["election_timeout_s"])
        assert await terms(replicas, replicas.http_by_daemon) == before
        assert await replicas.leader() == leader


async def test_leader_that_hears_nobody_gives_up(tmp_path) -> None:
    """
    Nothing is accepted for as long as a one-way cut lasts.

    The leader's heartbeats arrive, so no follower campaigns, but no answer reaches the leader.
    Cause: a leader that stays although no quorum answers.
    """
    async with founded(tmp_path, proxies=True) as replicas:
        old = await replicas.leader()
        for proxy in replicas.paths_of(old, inward=True, outward=False):
            await proxy.silence()
        assert await replicas.leader(but=old) != old
        await replicas.accept("after", but=old)
        assert (await replicas.local(old))["lease_left_s"] == 0
        refused = await replicas.propose(old, "to the old leader")
        assert refused is None or refused["reason"] in ("no_leader", "may_have_run")


async def test_open_connections_gone_silent_are_left(tmp_path) -> None:
    """
    Writes hang for ever although every new connection between the control VMs works.

    All open connections go silent for good at the same moment. Cause: a channel that waits on its
    one connection, which accepts bytes and returns nothing.
    """
    async with founded(tmp_path, proxies=True) as replicas:
        await replicas.accept("before")
        for proxy in replicas.proxy_by_path.values():
            await proxy.set_modes_of_open(Mode.SILENT, Mode.SILENT)
        await replicas.accept("after")
        await assert_all_hold(replicas, ["before", "after"])
