"""Replicas that are lost while they take over the log, in simulated clusters with a repair."""

from __future__ import annotations

import random

import pytest
from unit.consensus.random_run import RandomRun
from unit.consensus.run_nodes import Node

from ibisspring_consensus.messages import Members
from ibisspring_consensus.quorum import all_replicas
from ibisspring_consensus.repair import Placement, ReplacementCandidate, next_membership_change

# Seconds that a simulated step advances the time.
STEP_S = 0.02
REPAIR_INTERVAL_STEPS = 15
VOTERS = 3
# Seconds within which a lost voter must be replaced although the first replica that takes over its
# log is lost too: two silences, and the copying of the log.
REPAIRED_WITHIN_S = 10.0


class RepairedRun(RandomRun):
    """
    A cluster of three whose leader repairs its members, as `MemberRepair` does.

    :ivar lost: daemons that are lost for good; neither they nor their disks return.
    :ivar leaving: daemons that an operator is removing.
    """

    def __init__(self, seed: int) -> None:
        self.lost: set[str] = set()
        self.leaving: set[str] = set()
        self._steps = 0
        super().__init__(seed, VOTERS)

    def add_node(self) -> str:
        """Start a daemon with an empty disk at a new address."""
        daemon = f"s{len(self.node_by_daemon) + 1}"
        node = Node(daemon, self._new_disk(), 1.0)
        self.node_by_daemon[daemon] = node
        self.start(node)
        return daemon

    def step(self, node: Node, event) -> None:
        if not node.frozen:
            super().step(node, event)

    def lose(self, daemon: str) -> None:
        self.lost.add(daemon)
        self.node_by_daemon[daemon].core = None

    def step_without_faults(self) -> None:
        super().step_without_faults()
        self._steps += 1
        if self._steps % REPAIR_INTERVAL_STEPS == 0:
            self._repair()

    def _repair(self) -> None:
        for node in list(self.node_by_daemon.values()):
            if node.core is None or not node.core.is_leader:
                continue
            change = next_membership_change(
                node.core.state, self._candidates(), tuple(self.leaving), Placement(VOTERS)
            )
            if change is not None:
                self.step(node, change)

    def _candidates(self) -> list[ReplacementCandidate]:
        return [
            ReplacementCandidate(node.replica, node.daemon)
            for node in self.node_by_daemon.values()
            if node.core is not None and not node.frozen
        ]

    def run_for(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            self.step_without_faults()

    def run_until_learner(self) -> str:
        """Run until a replica that is not lost takes over the log; return its daemon."""
        for _ in range(500):
            self.step_without_faults()
            for members in self._members_in_force():
                for learner in members.learners:
                    if learner.replica.daemon not in self.lost:
                        return learner.replica.daemon
        raise AssertionError("no replica takes over the log")

    def _members_in_force(self) -> list[Members]:
        return [node.core.members for node in self.node_by_daemon.values() if node.core is not None]

    def is_repaired(self) -> bool:
        """Whether three daemons vote, none of which is lost or leaving, and no change goes on."""
        voters = {voter.daemon for voter in self.members.voters}
        present = {node.replica for node in self.node_by_daemon.values()}
        present &= set(self.members.voters)
        return (
            len(voters) == len(present) == VOTERS
            and not voters & (self.lost | self.leaving)
            and all_replicas(self.members) == self.members.voters
        )

    def run_until_repaired(self, within_s: float) -> None:
        for _ in range(round(within_s / STEP_S)):
            self.step_without_faults()
            if self.is_repaired():
                return
        members = self._members_in_force()[0]
        raise AssertionError(f"not repaired within {within_s} s: {members}, lost {self.lost}")

    @classmethod
    def with_replacement_of_c2(cls, seed: int) -> tuple[RepairedRun, str]:
        """Return a cluster that lost c2, and the daemon that has begun to take over for it."""
        cluster = cls(seed)
        cluster.add_node()
        cluster.lose("c2")
        return cluster, cluster.run_until_learner()


@pytest.mark.parametrize("seed", range(5))
def test_replica_lost_while_it_takes_over_the_log_stops_no_later_repair(seed) -> None:
    # An operator empties a store, and the empty store that takes over its data is lost for good.
    # It stayed a learner that never caught up, and no other change began: two more single losses
    # ended the log.
    cluster = RepairedRun(seed)
    cluster.add_node()
    cluster.leaving.add("c1")
    cluster.lose(cluster.run_until_learner())
    cluster.add_node()
    cluster.run_until_repaired(REPAIRED_WITHIN_S)

    for daemon in ("c2", "c3"):
        cluster.lose(daemon)
        cluster.add_node()
        cluster.run_until_repaired(REPAIRED_WITHIN_S)


@pytest.mark.parametrize("seed", range(5))
def test_two_replicas_lost_in_a_row_while_they_take_over_are_both_given_up(seed) -> None:
    cluster, learner = RepairedRun.with_replacement_of_c2(seed)
    cluster.lose(learner)
    cluster.add_node()
    cluster.lose(cluster.run_until_learner())
    cluster.add_node()

    cluster.run_until_repaired(2 * REPAIRED_WITHIN_S)


@pytest.mark.parametrize("seed", range(5))
def test_replica_that_loses_its_disk_while_it_takes_over_begins_anew(seed) -> None:
    # The VM returns at its address with an empty disk. Its former disk never catches up, and no
    # other VM is there to take its place.
    cluster, learner = RepairedRun.with_replacement_of_c2(seed)
    cluster.wipe(cluster.node_by_daemon[learner])

    cluster.run_until_repaired(REPAIRED_WITHIN_S)


@pytest.mark.parametrize("seed", range(5))
def test_replica_that_is_frozen_while_it_takes_over_goes_on_if_it_is_the_only_one(seed) -> None:
    cluster, learner = RepairedRun.with_replacement_of_c2(seed)
    cluster.node_by_daemon[learner].frozen = True
    cluster.run_for(6.0)
    cluster.node_by_daemon[learner].frozen = False

    cluster.run_until_repaired(REPAIRED_WITHIN_S)
    assert {voter.daemon for voter in cluster.members.voters} == {"c1", learner, "c3"}


@pytest.mark.parametrize("seed", range(5))
def test_two_replicas_that_replace_the_same_voter_do_not_both_become_voters(seed) -> None:
    # A frozen voter is being replaced by another VM when it returns with an empty disk. Its new
    # disk takes over first; the other VM, frozen meanwhile, became a fourth voter.
    cluster = RepairedRun(seed)
    cluster.add_node()
    returning = cluster.node_by_daemon["c2"]
    returning.frozen = True
    taking_over = cluster.node_by_daemon[cluster.run_until_learner()]
    taking_over.frozen = True
    returning.frozen = False
    cluster.wipe(returning)
    cluster.run_for(2.0)
    taking_over.frozen = False
    cluster.run_for(2.0)

    assert {voter.daemon for voter in cluster.members.voters} == {"c1", "c2", "c3"}
    assert cluster.is_repaired()


@pytest.mark.parametrize("seed", range(5))
def test_replica_lost_while_it_takes_over_is_given_up_by_the_next_leader(seed) -> None:
    # The next leader never heard of the learner; it counts the silence from its own election.
    cluster, learner = RepairedRun.with_replacement_of_c2(seed)
    cluster.lose(learner)
    cluster.add_node()
    leader = next(
        node for node in cluster.node_by_daemon.values() if node.core and node.core.is_leader
    )
    cluster.crash(leader)
    cluster.start(leader)

    cluster.run_until_repaired(2 * REPAIRED_WITHIN_S)


@pytest.mark.parametrize("seed", range(25))
def test_single_losses_at_random_moments_never_end_the_log(seed) -> None:
    """
    Single losses follow each other, of voters and of replicas that take over the log.

    A replica that takes over is lost up to 0.3 s after it has begun, unless it votes by then; the
    next round begins once the log is repaired. Between the losses entries are written and snapshots
    taken. Each step checks that no committed entry is lost.
    """
    source = random.Random(seed)
    cluster = RepairedRun(seed)
    for _ in range(6):
        cluster.add_node()
        voters = [voter.daemon for voter in cluster.members.voters]
        if source.random() < 0.3:
            cluster.leaving = {source.choice(voters)}
        else:
            cluster.lose(source.choice(voters))
        if source.random() < 0.7:
            learner = cluster.run_until_learner()
            cluster.run_for(source.choice((0.0, 0.05, 0.3)))
            if learner not in {voter.daemon for voter in cluster.members.voters}:
                cluster.lose(learner)
        cluster.add_node()
        for _ in range(source.randint(0, 200)):
            node = cluster.random.choice(list(cluster.node_by_daemon.values()))
            if node.core is not None:
                cluster.write_or_read(node)
            cluster.step_without_faults()
        cluster.run_until_repaired(2 * REPAIRED_WITHIN_S)
        cluster.leaving = set()
