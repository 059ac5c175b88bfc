"""Limits of a replica's log, and the report of a log that stands still."""

from __future__ import annotations

from pathlib import Path

from fakes.replica import LineLog
from ibisspring_consensus import ConsensusNode, ReplicaConfig
from ibisspring_consensus.node import MAX_COMMAND_BYTES
from ibisspring_consensus.stalls import STALLED_AFTER_S, StallWatch
from ibisspring_consensus.state import LOW_LATENCY_CONFIG
from ibisspring_core.counters import Counters
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.kernel import Kernel
from ibisspring_core.timer import TimerService


async def test_a_command_that_no_message_can_carry_is_refused(tmp_path: Path) -> None:
    # The leader appended a command that it could never send to its followers, and committed nothing
    # any more.
    config = ReplicaConfig("c1", tmp_path / "consensus", LOW_LATENCY_CONFIG, lambda daemon: None)
    counters = Counters.from_config(None)
    node = ConsensusNode(config)
    kernel = Kernel.from_services((TimerService(), counters, LineLog(), node))
    await kernel.start()

    refusal = await node.propose(bytes(MAX_COMMAND_BYTES + 1))

    assert isinstance(refusal, Refusal)
    assert refusal.reason is Reason.TOO_LARGE and refusal.not_run
    assert counters.count_by_name["consensus.command_too_large"] == 1
    assert node.core.state.log.last_index == 0
    await kernel.stop()


def test_a_log_that_stands_still_is_reported_once_until_it_goes_on() -> None:
    # A leader kept its lease for minutes while nothing was committed, and no line said so.
    watch = StallWatch()
    stall_s = STALLED_AFTER_S + 0.1

    assert not watch.check(5, waiting=1, now=0.0)
    assert not watch.check(5, waiting=1, now=0.5)
    assert watch.check(5, waiting=2, now=stall_s)
    assert not watch.check(5, waiting=2, now=9.0)
    assert not watch.check(6, waiting=1, now=9.1)
    assert watch.check(6, waiting=1, now=9.1 + stall_s)
    assert not watch.check(6, waiting=0, now=20.0)
    assert not watch.check(6, waiting=1, now=30.0)
