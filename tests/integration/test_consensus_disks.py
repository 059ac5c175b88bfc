"""Control replicas as real processes whose disks are wiped, torn, damaged and restarted."""

from __future__ import annotations

import asyncio
import json
import resource
import shutil
from pathlib import Path

from integration.processes import wait_until
from integration.replicas import Replicas
from integration.test_consensus_faults import assert_all_hold, followers, founded


def data_folder(replicas: Replicas, daemon: str) -> Path:
    return Path(replicas.cluster.settings_by_daemon[daemon]["data_folder"])


def wipe(replicas: Replicas, daemon: str) -> None:
    """Kill a replica and lose its disk."""
    replicas.process(daemon).kill()
    shutil.rmtree(data_folder(replicas, daemon))


async def status(replicas: Replicas) -> dict:
    """What each reachable replica says of itself, by daemon."""
    described = json.loads((await replicas.control("--json", "status")).stdout)
    return {replica["daemon"]: replica for replica in described if "daemon" in replica}


async def wait_repaired(replicas: Replicas, daemon: str) -> None:
    """Wait until the daemon's present disk is the only one of its own among the voters."""

    async def repaired() -> bool:
        replica_by_daemon = await status(replicas)
        disk_id = replica_by_daemon[daemon]["disk_id"]
        leader = replica_by_daemon.get(replica_by_daemon[daemon]["leader"])
        if leader is None or leader["outgoing"]:
            return False
        own = [voter for voter in leader["voters"] if voter["daemon"] == daemon]
        return [voter["disk_id"] for voter in own] == [disk_id]

    await wait_until(repaired, f"{daemon} to count again")


async def test_second_vm_lost_right_after_a_repair(tmp_path) -> None:
    """
    An accepted rules change is gone after two VMs were replaced one after the other.

    A control VM loses its disk and is repaired; right after, another one is lost for good with its
    disk, then the third is restarted. Cause: the repaired VM counted before it held what is
    committed, or voted as its old self.
    """
    async with founded(tmp_path) as replicas:
        lines = [f"line {number}" for number in range(30)]
        for line in lines:
            await replicas.accept(line)
        first, second = await followers(replicas)
        wipe(replicas, first)
        replicas.start(first)
        await replicas.wait_up(first)
        await wait_repaired(replicas, first)
        leader = await replicas.leader()
        lost = second if leader != second else leader
        wipe(replicas, lost)
        await replicas.accept("after both", but=lost)
        answer = await replicas.read(await replicas.leader(but=lost))
        assert answer["lines"][:30] == lines
        replicas.start(lost)
        await replicas.wait_up(lost)
        await wait_repaired(replicas, lost)
        await assert_all_hold(replicas, [*lines, "after both"])


async def test_leaders_disk_lost_and_a_second_loss_after_the_repair(tmp_path) -> None:
    """As above, where it is the leader that is lost each time."""
    async with founded(tmp_path) as replicas:
        lines = []
        for number in range(3):
            lines.append(f"line {number}")
            await replicas.accept(lines[-1])
            leader = await replicas.leader()
            wipe(replicas, leader)
            replicas.start(leader)
            await replicas.wait_up(leader)
            await wait_repaired(replicas, leader)
        await assert_all_hold(replicas, lines)


async def test_empty_disks_never_found_a_second_cluster(tmp_path) -> None:
    """
    Two clusters give orders after a bad night: one founded on two new disks, one from the VM that
    was away.

    Two of three disks are lost while the third VM is down. An operator runs bootstrap. Cause: a
    bootstrap that is content with a majority of empty disks.
    """
    async with founded(tmp_path) as replicas:
        await replicas.accept("accepted")
        for daemon in ("c1", "c2"):
            wipe(replicas, daemon)
        replicas.process("c3").kill()
        for daemon in ("c1", "c2"):
            replicas.start(daemon)
            await replicas.wait_up(daemon)
        refused = await replicas.control("bootstrap")
        assert refused.returncode == 1
        assert "c3 does not answer" in refused.stderr
        replicas.start("c3")
        await replicas.wait_up("c3")
        refused = await replicas.control("bootstrap")
        assert refused.returncode == 1
        assert "c3 already holds state" in refused.stderr


async def test_restart_of_all_after_hundreds_of_changes(tmp_path) -> None:
    """
    Rules that were in force an hour ago come back after all control VMs were restarted.

    500 changes with several snapshots; all are killed and started, one of them while it stores
    snapshots. Cause: a snapshot and log that together give another state than the one that was
    accepted.
    """
    async with founded(tmp_path, snapshot_every=60) as replicas:
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
    A control VM that was away for long never comes back, although it runs.

    The leader compacted its log meanwhile. Cause: entries that the follower lacks are gone, and
    nothing else is sent.
    """
    async with founded(tmp_path, snapshot_every=100) as replicas:
        away = (await followers(replicas))[0]
        replicas.process(away).kill()
        lines = [f"line {number}" for number in range(700)]
        leader = await replicas.leader()
        for start in range(0, 700, 100):
            batch = lines[start : start + 100]
            await asyncio.gather(*(replicas.propose(leader, line) for line in batch))
        for line in lines:
            if line not in (await replicas.local(leader))["lines"]:
                await replicas.accept(line)
        replicas.start(away)
        await replicas.wait_up(away)
        await assert_all_hold(replicas, lines)
        assert (await status(replicas))[away]["snapshot_index"] > 100


async def test_damaged_log_refuses_to_start_and_says_where(tmp_path) -> None:
    """
    A disk returns a wrong byte in the middle of the log after a restart.

    The daemon must end, and its output must name the file and the offset; with the disk emptied it
    is taken in again. Cause, were it to start: it would forget what it acknowledged.
    """
    async with founded(tmp_path) as replicas:
        for number in range(10):
            await replicas.accept(f"line {number}")
        broken = (await followers(replicas))[0]
        await replicas.wait_lines(broken, ["line 9"])
        replicas.process(broken).kill()
        segment = sorted((data_folder(replicas, broken) / "consensus").glob("log-*"))[-1]
        data = bytearray(segment.read_bytes())
        data[data.index(b"line 3")] ^= 0x01
        segment.write_bytes(bytes(data))
        process = replicas.start(broken)
        await wait_until(lambda: not process.alive(), f"{broken} to refuse")
        assert process.popen.returncode != 0
        assert f"refusing to start: {segment}: offset " in process.tail()
        shutil.rmtree(data_folder(replicas, broken))
        replicas.start(broken)
        await replicas.wait_up(broken)
        await wait_repaired(replicas, broken)


async def test_leader_whose_disk_is_full_ends_and_loses_nothing(tmp_path) -> None:
    """
    Accepted writes are gone after a control VM's disk was full for a while.

    The leader's log cannot grow any more. Cause: going on after a failed write, with a log that
    holds half of it, or ending as after a planned stop, so that nobody looks.
    """
    async with founded(tmp_path) as replicas:
        lines = [f"line {number}" for number in range(20)]
        for line in lines:
            await replicas.accept(line)
        full = await replicas.leader()
        segment = sorted((data_folder(replicas, full) / "consensus").glob("log-*"))[-1]
        process = replicas.process(full)
        limit = segment.stat().st_size + 30
        resource.prlimit(process.popen.pid, resource.RLIMIT_FSIZE, (limit, limit))
        lines.append("on the full disk " + "x" * 100)
        await replicas.accept(lines[-1])
        await wait_until(lambda: not process.alive(), f"{full} to end")
        assert process.popen.returncode != 0
        assert "ended after a failure" in process.tail()
        replicas.start(full)
        await replicas.wait_up(full)
        await assert_all_hold(replicas, lines)
