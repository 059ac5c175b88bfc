"""Control replicas as real processes: bootstrap, writes, restart and planned stop."""

from __future__ import annotations

import pytest

from integration.processes import wait_until
from integration.replicas import Replicas


@pytest.mark.parametrize("count", [1, 3])
async def test_accepted_lines_survive_a_restart_of_all_replicas(tmp_path, count) -> None:
    replicas = Replicas.from_count(tmp_path, count)
    try:
        await replicas.bootstrap()
        lines = [f"line {number}" for number in range(20)]
        for line in lines:
            await replicas.accept(line)
        for daemon in replicas.http_by_daemon:
            replicas.process(daemon).kill()
        await replicas.start_all()
        leader = await replicas.leader()
        answer = await replicas.read(leader)
        assert answer["lines"] == lines
    finally:
        replicas.stop_all()


async def test_graceful_stop_transfers_leadership(tmp_path) -> None:
    replicas = Replicas.from_count(tmp_path, 3)
    try:
        await replicas.bootstrap()
        old = await replicas.leader()
        assert await replicas.process(old).terminate() == 0
        assert await replicas.leader(other_than=old) != old
    finally:
        replicas.stop_all()


async def test_bootstrap_is_refused_where_a_daemon_holds_state_or_is_silent(tmp_path) -> None:
    replicas = Replicas.from_count(tmp_path, 3)
    try:
        replicas.start("c1")
        replicas.start("c2")
        await replicas.wait_answers("c1")
        await replicas.wait_answers("c2")
        result = await replicas.control("bootstrap")
        assert result.returncode == 1
        assert "c3 does not answer" in result.stderr
        replicas.start("c3")
        await replicas.wait_answers("c3")
        assert (await replicas.control("bootstrap")).returncode == 0
        second = await replicas.control("bootstrap")
        assert second.returncode == 1
        assert "already holds state" in second.stderr
        await wait_until(replicas.leader, "a leader of the bootstrapped cluster")
    finally:
        replicas.stop_all()
