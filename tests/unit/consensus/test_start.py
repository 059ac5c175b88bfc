from __future__ import annotations

import asyncio
import errno
import random
from pathlib import Path

import pytest
from unit.consensus.refusing import RefusedCalls

from fakes.replica import LineLog
from ibisspring_consensus import ConsensusNode, events, files
from ibisspring_consensus import writer as writer_module
from ibisspring_consensus.config import ReplicaConfig
from ibisspring_consensus.core import Core, StoredState
from ibisspring_consensus.election import must_withhold_vote
from ibisspring_consensus.messages import HardState, ReplicaId, SnapshotMeta
from ibisspring_consensus.state import LOW_LATENCY_CONFIG, CoreConfig
from ibisspring_core.counters import Counters
from ibisspring_core.kernel import Kernel
from ibisspring_core.settings import ControlSettings
from ibisspring_core.timer import TimerService

IMPORTS_S = 0.35
STARTED_S = 10.0


def core_after_slow_imports() -> Core:
    """Return the core of a replica that read its disk `IMPORTS_S` after its process started."""
    own = ReplicaId("c1", "disk-1")
    snapshot = SnapshotMeta(0, 0)
    stored = StoredState(HardState(term=3), snapshot, 0, 0, ())
    core = Core.from_stored(own, LOW_LATENCY_CONFIG, stored, random.Random(1), STARTED_S)
    core.step(events.Tick(), STARTED_S + IMPORTS_S)
    return core


def test_the_wait_after_a_restart_counts_from_the_start_of_the_process() -> None:
    # All VMs are killed at once and restart. A voter's previous process may have supported a
    # leader's lease until it ended, which was before the new process started; so the new process
    # withholds its vote for one election timeout. If this wait were counted from the end of the
    # imports, it would delay the election of a leader by a third of a second longer than any lease
    # can last.
    core = core_after_slow_imports()
    assert must_withhold_vote(core.state)

    core.step(events.Tick(), STARTED_S + LOW_LATENCY_CONFIG.leader_lease_s)
    assert must_withhold_vote(core.state)

    core.step(events.Tick(), STARTED_S + LOW_LATENCY_CONFIG.election_timeout_s)
    assert not must_withhold_vote(core.state)
    assert core.state.election_due_at <= STARTED_S + 2 * LOW_LATENCY_CONFIG.election_timeout_s


def test_core_times_come_from_the_settings() -> None:
    # An operator shortens all times in the settings. If the leader lease kept its old duration, it
    # would outlast the election timeout after which another leader is elected, and both would act
    # as leader.
    control = ControlSettings(
        "127.0.0.1:1", heartbeat_s=0.1, election_timeout_s=0.5, leader_lease_s=0.4
    )

    config = CoreConfig.from_config(control)

    assert (config.heartbeat_s, config.election_timeout_s) == (0.1, 0.5)
    assert config.leader_lease_s == 0.4
    assert config.election_spread == CoreConfig().election_spread


def full_disk(monkeypatch, refused: str) -> RefusedCalls:
    owner = Path if refused in ("mkdir", "open", "replace") else files.os
    return RefusedCalls(monkeypatch, errno.ENOSPC, (owner, refused))


def kernel_of_a_replica(folder: Path) -> Kernel:
    replica = ReplicaConfig("c1", folder, CoreConfig(), lambda daemon: "")
    services = (TimerService(), Counters.from_config(None), LineLog(), ConsensusNode(replica))
    return Kernel.from_services(services)


@pytest.mark.parametrize("refused", ["mkdir", "open", "write", "fsync", "replace"])
async def test_a_replica_that_starts_on_a_full_disk_waits_for_free_space(
    tmp_path, monkeypatch, refused
) -> None:
    # A VM has a new disk, which is full for some time when the daemon starts. If the start did not
    # wait for free space, the daemon would end at each start.
    monkeypatch.setattr(writer_module, "WRITE_RETRY_S", 0.01)
    disk = full_disk(monkeypatch, refused)
    kernel = kernel_of_a_replica(tmp_path / "control" / "consensus")
    async with asyncio.timeout(5.0):
        start = asyncio.create_task(kernel.start())
        attempted = asyncio.create_task(disk.attempted.wait())
        await asyncio.wait((start, attempted), return_when=asyncio.FIRST_COMPLETED)
        assert not start.done()
        disk.allowed.set()
        await start
        await kernel.stop()


async def test_a_replica_that_waits_for_free_space_stops_on_request(tmp_path, monkeypatch) -> None:
    # A daemon waits for free space at its start and is asked to stop. If the wait could not be
    # interrupted, the daemon would be killed after the grace period.
    disk = full_disk(monkeypatch, "mkdir")
    kernel = kernel_of_a_replica(tmp_path / "consensus")

    async def start() -> int | None:
        try:
            await kernel.start()
        except SystemExit as ended:
            return ended.code
        return None

    async with asyncio.timeout(5.0):
        starting = asyncio.create_task(start())
        await disk.attempted.wait()
        kernel.stopping.set()
        assert await starting == 0
