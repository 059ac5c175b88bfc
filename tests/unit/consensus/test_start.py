from __future__ import annotations

import random

from ibisspring_consensus import events
from ibisspring_consensus.core import Core, StoredState
from ibisspring_consensus.election import heard_lately
from ibisspring_consensus.messages import HardState, ReplicaId, SnapshotMeta
from ibisspring_consensus.state import QUICK, CoreConfig
from ibisspring_core.settings import ControlSettings

IMPORTS_S = 0.35
STARTED_S = 10.0


def core_of_a_process_that_started_earlier() -> Core:
    """A replica whose process took its time for imports before it could read its disk."""
    me = ReplicaId("c1", "disk-1")
    snapshot = SnapshotMeta(0, 0)
    stored = StoredState(HardState(term=3), snapshot, 0, 0, ())
    core = Core.from_stored(me, QUICK, stored, random.Random(1), STARTED_S)
    core.step(events.Tick(), STARTED_S + IMPORTS_S)
    return core


def test_the_wait_after_a_restart_counts_from_the_start_of_the_process() -> None:
    # All VMs are killed at once. The process before may have granted a lease until it ended, which
    # was before this one began; counted from the end of its imports, the wait kept callers from a
    # leader for a third of a second more than any lease lasts.
    core = core_of_a_process_that_started_earlier()
    assert heard_lately(core.state)

    core.step(events.Tick(), STARTED_S + QUICK.leader_lease_s)
    assert heard_lately(core.state)

    core.step(events.Tick(), STARTED_S + QUICK.election_timeout_s)
    assert not heard_lately(core.state)
    assert core.state.election_at <= STARTED_S + 2 * QUICK.election_timeout_s


def test_the_times_are_those_of_the_settings() -> None:
    # An operator shortens all times. A lease that stayed as long as before would outlast the
    # silence after which another leader is elected, and both would believe to be in charge.
    control = ControlSettings(
        "127.0.0.1:1", heartbeat_s=0.1, election_timeout_s=0.5, leader_lease_s=0.4
    )

    config = CoreConfig.from_config(control)

    assert (config.heartbeat_s, config.election_timeout_s) == (0.1, 0.5)
    assert config.leader_lease_s == 0.4
    assert config.election_spread == CoreConfig().election_spread
