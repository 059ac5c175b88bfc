from __future__ import annotations

from ibisspring_control.leader_duties.leadership import LeadershipWatch


def test_a_new_leader_acts_only_after_the_takeover_wait(control) -> None:
    watch = LeadershipWatch(control, wait_s=2.8)

    assert watch.current(100.0) is None
    assert watch.current(102.7) is None
    assert watch.current(102.8).term == 1


def test_a_replica_elected_leader_again_waits_again(control) -> None:
    watch = LeadershipWatch(control, wait_s=2.8)
    watch.current(100.0)
    old = watch.current(103.0)

    control.term = 3

    assert watch.current(103.1) is None
    assert watch.lease_left_s(old) == 0.0
