"""Control replicas as real processes under kills, freezes and network partitions."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import pytest

from integration.processes import wait_until
from integration.proxy import Mode
from integration.replicas import Replicas

# Long election timeouts for tests that assert that no election is held, so that scheduling delays
# on a busy machine do not cause one.
SLOW_ELECTIONS = {
    "heartbeat_s": 0.3,
    "election_timeout_s": 3.0,
    "leader_lease_s": 2.0,
    "entry_lease_s": 8.0,
}
PEER_DELAY_S = 0.03
PARTITION_S = 3 * SLOW_ELECTIONS["election_timeout_s"]


@asynccontextmanager
async def bootstrapped(folder, proxies=False, delay_s=0.0, **control):
    """Yield a bootstrapped cluster of three replicas and kill all of them at the end."""
    replicas = Replicas.from_count(folder, 3, **control)
    try:
        if proxies:
            await replicas.add_proxies()
        for proxy in replicas.proxy_by_path.values():
            proxy.delay_s = delay_s
        await replicas.bootstrap()
        yield replicas
    finally:
        replicas.stop_all()


class Writers:
    """Tasks that write lines until they are stopped; `accepted` holds the acknowledged lines."""

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

    async def wait_accepted(self, count: int) -> None:
        """Wait until `count` more lines were accepted."""
        target = len(self.accepted) + count
        await wait_until(lambda: len(self.accepted) >= target, f"{target} accepted lines")

    async def stop(self) -> None:
        self.stopping = True
        await asyncio.gather(*self.tasks)


async def followers(replicas: Replicas) -> list[str]:
    leader = await replicas.leader()
    return [daemon for daemon in replicas.http_by_daemon if daemon != leader]


async def terms(replicas: Replicas, daemons) -> set[int]:
    return {(await replicas.local_state(daemon))["term"] for daemon in daemons}


async def assert_all_hold(replicas: Replicas, lines: list[str]) -> None:
    """
    Wait until every replica holds all lines, then check that the order is the same on all replicas
    and that each log index was applied once.
    """
    for daemon in replicas.http_by_daemon:
        await replicas.wait_lines(daemon, lines)
    states = [await replicas.local_state(daemon) for daemon in replicas.http_by_daemon]
    shortest = min(len(state["lines"]) for state in states)
    assert all(state["lines"][:shortest] == states[0]["lines"][:shortest] for state in states)
    for state in states:
        assert state["indexes"] == sorted(set(state["indexes"]))


async def test_leader_killed_amid_writes_loses_nothing_accepted(tmp_path) -> None:
    """
    Guards against losing a command that was answered "accepted" when the leader's VM crashes.

    While eight writers keep writing, the leader is killed with SIGKILL and restarted, three times.
    The loss occurs if the leader answers before a majority has synced the entry.
    """
    # Delayed paths between replicas, so that an entry that was acknowledged too early is still in
    # transit when the leader is killed.
    async with bootstrapped(tmp_path, proxies=True, delay_s=PEER_DELAY_S) as replicas:
        writers = Writers(replicas)
        writers.start(8)
        for _ in range(3):
            await writers.wait_accepted(40)
            leader = await replicas.leader()
            replicas.process(leader).kill()
            await writers.wait_accepted(20)
            replicas.start(leader)
            await replicas.wait_answers(leader)
        await writers.stop()
        await assert_all_hold(replicas, writers.accepted)


async def test_a_resumed_leader_answers_no_read_from_its_old_state(tmp_path) -> None:
    """
    Guards against a control VM that reports a withdrawn key as valid after it was suspended.

    The leader is stopped with SIGSTOP, another is elected and accepts a line, then the old leader
    continues. The failure occurs if the old leader answers a read from its state before the stop,
    although its lease has expired.
    """
    async with bootstrapped(tmp_path) as replicas:
        await replicas.accept("before")
        old = await replicas.leader()
        replicas.process(old).freeze()
        reading = asyncio.create_task(replicas.read(old))
        new = await replicas.leader(other_than=old)
        await replicas.accept("after", other_than=old)
        replicas.process(old).thaw()
        answer = await reading
        assert answer is None or "after" in answer.get("lines", ["after"])
        local = await replicas.local_state(old)
        assert local["lease_left_s"] == 0 or local["term"] > 1
        assert new != old
        await assert_all_hold(replicas, ["before", "after"])


@pytest.mark.parametrize(("inward", "outward"), [(True, True), (True, False), (False, True)])
async def test_long_cut_follower_rejoins_without_disturbing(tmp_path, inward, outward) -> None:
    """
    Guards against an election, which delays every order and rules change, when a control VM returns
    from a long partition.

    One follower receives no messages, or none of its messages arrive, or both, for several election
    timeouts. The election occurs if the follower raises its term with each failed candidacy, so
    that the healthy leader has to step down when it sees that term.
    """
    async with bootstrapped(tmp_path, proxies=True, **SLOW_ELECTIONS) as replicas:
        leader = await replicas.leader()
        isolated = (await followers(replicas))[0]
        before = await terms(replicas, replicas.http_by_daemon)
        for proxy in replicas.paths_of(isolated, inward, outward):
            await proxy.silence()
        await asyncio.sleep(PARTITION_S)
        await replicas.accept("during the cut")
        for proxy in replicas.paths_of(isolated, inward, outward):
            await proxy.heal()
        await replicas.wait_lines(isolated, ["during the cut"])
        await asyncio.sleep(SLOW_ELECTIONS["election_timeout_s"])
        assert await terms(replicas, replicas.http_by_daemon) == before
        assert await replicas.leader() == leader


async def test_a_leader_that_receives_no_replies_steps_down(tmp_path) -> None:
    """
    Guards against a cluster that accepts no command for as long as a one-way partition lasts.

    The leader's heartbeats arrive, so no follower campaigns, but no answer reaches the leader. The
    cluster stalls if the leader does not step down although no quorum answers it.
    """
    async with bootstrapped(tmp_path, proxies=True) as replicas:
        old = await replicas.leader()
        for proxy in replicas.paths_of(old, inward=True, outward=False):
            await proxy.silence()
        assert await replicas.leader(other_than=old) != old
        await replicas.accept("after", other_than=old)
        assert (await replicas.local_state(old))["lease_left_s"] == 0
        refused = await replicas.propose(old, "to the old leader")
        assert refused is None or refused["reason"] in ("no_leader", "may_have_run")


async def test_silent_open_connections_are_replaced(tmp_path) -> None:
    """
    Guards against writes that hang forever although new connections between control VMs work.

    All open connections stop delivering bytes at the same moment and never recover. The writes hang
    if a channel keeps waiting on its single connection, which accepts bytes and returns none.
    """
    async with bootstrapped(tmp_path, proxies=True) as replicas:
        await replicas.accept("before")
        for proxy in replicas.proxy_by_path.values():
            await proxy.set_modes_of_open(Mode.SILENT, Mode.SILENT)
        await replicas.accept("after")
        await assert_all_hold(replicas, ["before", "after"])
