"""Control replicas as real processes whose disks are wiped, damaged or full, and restarts."""

from __future__ import annotations

import asyncio
import json
import resource
import shutil
from pathlib import Path

from integration.processes import wait_until
from integration.replicas import Replicas
from integration.test_consensus_faults import assert_all_hold, bootstrapped, followers


def data_folder(replicas: Replicas, daemon: str) -> Path:
    return Path(replicas.cluster.settings_by_daemon[daemon]["data_folder"])


def wipe(replicas: Replicas, daemon: str) -> None:
    """Kill a replica and delete its data folder."""
    replicas.process(daemon).kill()
    shutil.rmtree(data_folder(replicas, daemon))


async def status(replicas: Replicas) -> dict:
    """Return the status that each reachable replica reports, by daemon."""
    described = json.loads((await replicas.control("--json", "status")).stdout)
    return {replica["daemon"]: replica for replica in described if "daemon" in replica}


async def wait_repaired(replicas: Replicas, daemon: str) -> None:
    """Wait until the daemon's current disk is a voter and none of its earlier disks is."""

    async def repaired() -> bool:
        replica_by_daemon = await status(replicas)
        disk_id = replica_by_daemon[daemon]["disk_id"]
        leader = replica_by_daemon.get(replica_by_daemon[daemon]["leader"])
        if leader is None or leader["outgoing"]:
            return False
        own_voters = [voter for voter in leader["voters"] if voter["daemon"] == daemon]
        return [voter["disk_id"] for voter in own_voters] == [disk_id]

    await wait_until(repaired, f"the new disk of {daemon} to be a voter")


async def test_second_vm_lost_right_after_a_repair(tmp_path) -> None:
    """
    Guards against losing accepted changes when two VMs lose their disks one after the other.

    A control VM loses its disk and is repaired; right after that another one is permanently lost
    with its disk, and later rejoins with an empty one. The loss occurs if the repaired VM counts
    towards a majority before it holds all committed entries, or votes under the identity of its
    old disk.
    """
    async with bootstrapped(tmp_path) as replicas:
        lines = [f"line {number}" for number in range(30)]
        for line in lines:
            await replicas.accept(line)
        first, second = await followers(replicas)
        wipe(replicas, first)
        replicas.start(first)
        await replicas.wait_answers(first)
        await wait_repaired(replicas, first)
        leader = await replicas.leader()
        lost = second if leader != second else leader
        wipe(replicas, lost)
        await replicas.accept("after both", other_than=lost)
        answer = await replicas.read(await replicas.leader(other_than=lost))
        assert answer["lines"][:30] == lines
        replicas.start(lost)
        await replicas.wait_answers(lost)
        await wait_repaired(replicas, lost)
        await assert_all_hold(replicas, [*lines, "after both"])


async def test_leaders_disk_lost_and_a_second_loss_after_the_repair(tmp_path) -> None:
    """Guards against the same loss when each VM that loses its disk is the current leader."""
    async with bootstrapped(tmp_path) as replicas:
        lines = []
        for number in range(3):
            lines.append(f"line {number}")
            await replicas.accept(lines[-1])
            leader = await replicas.leader()
            wipe(replicas, leader)
            replicas.start(leader)
            await replicas.wait_answers(leader)
            await wait_repaired(replicas, leader)
        await assert_all_hold(replicas, lines)


async def test_empty_disks_cannot_bootstrap_a_second_cluster(tmp_path) -> None:
    """
    Guards against two clusters that both give orders: one bootstrapped on two new disks, the other
    on the VM that was down.

    Two of three disks are lost while the third VM is down, and an operator runs bootstrap. The
    second cluster arises if bootstrap requires only a majority of empty disks.
    """
    async with bootstrapped(tmp_path) as replicas:
        await replicas.accept("accepted")
        for daemon in ("c1", "c2"):
            wipe(replicas, daemon)
        replicas.process("c3").kill()
        for daemon in ("c1", "c2"):
            replicas.start(daemon)
            await replicas.wait_answers(daemon)
        refused = await replicas.control("bootstrap")
        assert refused.returncode == 1
        assert "c3 does not answer" in refused.stderr
        replicas.start("c3")
        await replicas.wait_answers("c3")
        refused = await replicas.control("bootstrap")
        assert refused.returncode == 1
        assert "c3 already holds state" in refused.stderr


async def test_restart_of_all_after_hundreds_of_changes(tmp_path) -> None:
    """
    Guards against old rules that return after a restart of all control VMs.

    500 changes are accepted, with several snapshots; then all replicas are killed and restarted
    right after another snapshot was ordered, so that one can be killed while it stores the
    snapshot. The failure occurs if the state restored from snapshot and log differs from the
    accepted state.
    """
    async with bootstrapped(tmp_path, snapshot_every=60) as replicas:
        lines = [f"line {number}" for number in range(500)]
        leader = await replicas.leader()
        for start in range(0, 500, 50):
            batch = [replicas.propose(leader, line) for line in lines[start : start + 50]]
            answers = await asyncio.gather(*batch)
            missing = [
                line
                for line, answer in zip(lines[start:], answers, strict=False)
                if not answer or "index" not in answer
            ]
            for line in missing:
                await replicas.accept(line)
            leader = await replicas.leader()
        await replicas.control("snapshot")
        for daemon in replicas.http_by_daemon:
            replicas.process(daemon).kill()
        await replicas.start_all()
        await replicas.leader()
        await assert_all_hold(replicas, lines)
        assert all(replica["snapshot_index"] > 60 for replica in (await status(replicas)).values())


async def test_follower_behind_the_log_gets_a_snapshot(tmp_path) -> None:
    """
    Guards against a restarted control VM that never catches up with the leader.

    While the follower was down, the leader compacted its log. The follower stays behind if the
    entries that it lacks are no longer in the log and the leader sends no snapshot instead.
    """
    async with bootstrapped(tmp_path, snapshot_every=100) as replicas:
        stopped = (await followers(replicas))[0]
        replicas.process(stopped).kill()
        lines = [f"line {number}" for number in range(700)]
        leader = await replicas.leader()
        for start in range(0, 700, 100):
            batch = lines[start : start + 100]
            await asyncio.gather(*(replicas.propose(leader, line) for line in batch))
        for line in lines:
            if line not in (await replicas.local_state(leader))["lines"]:
                await replicas.accept(line)
        replicas.start(stopped)
        await replicas.wait_answers(stopped)
        await assert_all_hold(replicas, lines)
        assert (await status(replicas))[stopped]["snapshot_index"] > 100


async def test_a_damaged_log_prevents_the_start_and_its_position_is_reported(tmp_path) -> None:
    """
    Guards against a replica that starts with a damaged log.

    After a restart the disk returns a wrong byte in the middle of the log. The daemon must exit and
    its output must name the file and the offset; with an empty disk it rejoins the cluster. If it
    started with the damaged log, it would lose entries that it had acknowledged.
    """
    async with bootstrapped(tmp_path) as replicas:
        for number in range(10):
            await replicas.accept(f"line {number}")
        damaged_daemon = (await followers(replicas))[0]
        await replicas.wait_lines(damaged_daemon, ["line 9"])
        replicas.process(damaged_daemon).kill()
        segment = sorted((data_folder(replicas, damaged_daemon) / "consensus").glob("log-*"))[-1]
        data = bytearray(segment.read_bytes())
        data[data.index(b"line 3")] ^= 0x01
        segment.write_bytes(bytes(data))
        process = replicas.start(damaged_daemon)
        await wait_until(lambda: not process.alive(), f"{damaged_daemon} to exit")
        assert process.popen.returncode != 0
        assert f"refusing to start: {segment}: offset " in process.tail()
        shutil.rmtree(data_folder(replicas, damaged_daemon))
        replicas.start(damaged_daemon)
        await replicas.wait_answers(damaged_daemon)
        await wait_repaired(replicas, damaged_daemon)


async def test_leader_whose_disk_is_full_ends_and_loses_nothing(tmp_path) -> None:
    """
    Guards against losing accepted writes when a control VM's disk is full for some time.

    The leader's log cannot grow any further. Writes are lost if the leader continues after a failed
    write with a log that holds only a part of it. The daemon must also not exit with success as
    after a planned stop, because then no operator would notice the fault.
    """
    async with bootstrapped(tmp_path) as replicas:
        lines = [f"line {number}" for number in range(20)]
        for line in lines:
            await replicas.accept(line)
        full_daemon = await replicas.leader()
        segment = sorted((data_folder(replicas, full_daemon) / "consensus").glob("log-*"))[-1]
        process = replicas.process(full_daemon)
        size_limit = segment.stat().st_size + 30
        resource.prlimit(process.popen.pid, resource.RLIMIT_FSIZE, (size_limit, size_limit))
        lines.append("on the full disk " + "x" * 100)
        await replicas.accept(lines[-1])
        await wait_until(lambda: not process.alive(), f"{full_daemon} to end")
        assert process.popen.returncode != 0
        assert "ended after a failure" in process.tail()
        replicas.start(full_daemon)
        await replicas.wait_answers(full_daemon)
        await assert_all_hold(replicas, lines)
