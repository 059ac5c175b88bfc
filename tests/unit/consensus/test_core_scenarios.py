"""
Failures that the consensus core must prevent and that need an exact order of events.

Each test runs the events twice: with the core's guard against the failure, and with the guard
removed, to show that the failure then occurs.
"""

from __future__ import annotations

from dataclasses import replace

import pytest
from unit.consensus import guards
from unit.consensus.random_run import RandomRun

from ibisspring_consensus import events
from ibisspring_consensus.messages import AppendReply, AppendRequest, VoteReply, VoteRequest

ANY = object


class Trio(RandomRun):
    """Three consensus cores whose messages are delivered only by the test; c1 is the leader."""

    @classmethod
    def with_leader_c1(cls) -> Trio:
        trio = cls(seed=7, count=3)
        for node in trio.node_by_daemon.values():
            node.rate = 1.0
        leader = trio.leader()
        if leader != "c1":
            trio.elect_leader("c1")
        return trio

    def leader(self) -> str:
        return next(name for name, node in self.node_by_daemon.items() if node.core.is_leader)

    def elect_leader(self, daemon: str) -> None:
        """Make each elected leader resign until the given daemon is the leader."""
        while self.leader() != daemon:
            self.step(self.node_by_daemon[self.leader()], events.Resign())
            for _ in range(200):
                self.step_without_faults()
            assert self.leader()

    def deliver_from(self, sender: str, target: str, kind: type = ANY) -> int:
        """
        Deliver the messages in transit from sender to target; return how many were delivered.

        After each message, all disk writes that it causes are completed.
        """
        waiting = [
            message
            for message in self.messages
            if message[0].daemon == sender
            and message[1].daemon == target
            and isinstance(message[2], kind)
        ]
        for message in waiting:
            self.messages.remove(message)
            node = self.node_by_daemon[target]
            self.step(node, events.Received(*message))
            self.sync_all(node)
        return len(waiting)

    def sync_all(self, node) -> None:
        while node.jobs:
            job = node.jobs.popleft()
            node.disk.write(job)
            self.step(node, events.Persisted(job.sequence))

    def tick_and_sync(self, daemon: str) -> None:
        node = self.node_by_daemon[daemon]
        self.step(node, events.Tick())
        self.sync_all(node)

    def heartbeat_round_with(self, follower: str) -> None:
        """Run one heartbeat round of c1 with one follower, including the reply."""
        self.now += 0.25
        self.tick_and_sync("c1")
        assert self.deliver_from("c1", follower)
        assert self.deliver_from(follower, "c1")

    def elect(self, candidate: str, voter: str) -> None:
        """
        Let the candidate's election timeout pass and deliver its vote requests to a single voter.

        The votes of the candidate and this voter are a majority of three.
        """
        node = self.node_by_daemon[candidate]
        node.core.state.election_due_at = self.now
        self.tick_and_sync(candidate)
        for _ in range(2):
            self.deliver_from(candidate, voter, VoteRequest)
            self.deliver_from(voter, candidate, VoteReply)

    def elect_c2_with_c3(self) -> None:
        """
        Let c2 become leader with the vote of c3 and receive the reply to its first heartbeat round.
        """
        self.elect("c2", "c3")
        self.deliver_from("c2", "c3", AppendRequest)
        self.deliver_from("c3", "c2", AppendReply)


@pytest.mark.parametrize("remove_guard", [None, guards.vote_despite_leader_contact])
def test_a_voter_in_contact_with_the_leader_grants_no_vote(monkeypatch, remove_guard) -> None:
    """
    C2 is partitioned from the leader c1, its election timeout passes, and it asks c3 for its vote.

    C3 has just replied to a heartbeat of c1, which therefore holds a lease. Without the guard, c3
    would grant its vote while its reply still supports the lease of c1. Both c1 and c2 would hold a
    lease, and the platform would receive orders (requests to change the system) from both.
    """
    trio = Trio.with_leader_c1()
    for _ in range(8):
        trio.heartbeat_round_with("c3")
    trio.messages.clear()
    _expect_overlap(monkeypatch, remove_guard, trio, trio.elect_c2_with_c3)


@pytest.mark.parametrize("remove_guard", [None, guards.vote_right_after_restart])
def test_a_voter_that_restarted_waits_before_it_votes(monkeypatch, remove_guard) -> None:
    """
    C3 replies to a heartbeat of the leader c1, crashes, restarts at once and is asked for a vote.

    C2, which is partitioned from c1, asks for the vote. C3 has lost the record of its reply.
    Without the guard, c3 would vote for c2 before the lease of c1, which the reply supports, has
    expired. Both c1 and c2 would hold a lease, and the platform would receive orders from both.
    """
    trio = Trio.with_leader_c1()
    for _ in range(8):
        trio.heartbeat_round_with("c3")
    trio.messages.clear()
    node = trio.node_by_daemon["c3"]
    trio.crash(node)
    trio.start(node)
    _expect_overlap(monkeypatch, remove_guard, trio, trio.elect_c2_with_c3)


@pytest.mark.parametrize("remove_guard", [None, guards.lease_from_reply_receipt])
def test_late_heartbeat_replies_do_not_extend_the_lease(monkeypatch, remove_guard) -> None:
    """
    The replies to a heartbeat round of c1 are in transit for almost an election timeout.

    Then c1 is partitioned and c2 is elected. Without the guard, c1 would count its lease from the
    receipt of the replies, while the followers withhold their votes only from the receipt of the
    heartbeat. Both c1 and c2 would hold a lease, and the platform would receive orders from both.
    """
    trio = Trio.with_leader_c1()
    trio.now += 0.25
    trio.tick_and_sync("c1")
    trio.deliver_from("c1", "c2", AppendRequest)
    trio.deliver_from("c1", "c3", AppendRequest)

    def late_replies_then_election() -> None:
        trio.now += 0.95
        trio.deliver_from("c2", "c1", AppendReply)
        trio.deliver_from("c3", "c1", AppendReply)
        trio.messages.clear()
        trio.now += 0.1
        trio.node_by_daemon["c2"].core.state.election_due_at = trio.now
        trio.elect_c2_with_c3()

    _expect_overlap(monkeypatch, remove_guard, trio, late_replies_then_election)


def _expect_overlap(monkeypatch, remove_guard, trio, run_failure) -> None:
    """Run the events of a failure; check that two leases overlap only without the guard."""
    if remove_guard is None:
        run_failure()
        trio.check_leases()
        return
    remove_guard(monkeypatch)
    run_failure()
    with pytest.raises(AssertionError, match="two leases at once"):
        trio.check_leases()


@pytest.mark.parametrize("remove_guard", [None, guards.commit_older_terms])
def test_an_entry_of_an_earlier_term_is_not_committed_by_counting_replicas(
    monkeypatch, remove_guard
) -> None:
    """
    An entry of an earlier term is on a majority, but can still be overwritten.

    C1 appends an entry with an operator's rules and crashes. C2, which lacks the entry, becomes
    leader, appends an entry of its own and crashes. C1 becomes leader again and copies its old
    entry to c3, so a majority holds the old entry. If c1 crashes and c2 becomes leader again, c2's
    entry has the newer term and overwrites the old entry. Without the guard, c1 would already have
    answered "accepted" because a majority held the old entry, and the accepted rules of the
    operator would be lost after two leader changes.
    """
    trio = Trio.with_leader_c1()
    if remove_guard is not None:
        remove_guard(monkeypatch)
    trio.messages.clear()
    first, second = trio.node_by_daemon["c1"], trio.node_by_daemon["c2"]
    trio.step(first, events.Propose(((1, b"accepted rules"),)))
    trio.sync_all(first)
    entry_index = first.core.state.log.last_index
    trio.messages.clear()
    trio.now += 1.5
    trio.elect("c2", "c3")
    assert second.core.is_leader
    trio.messages.clear()
    trio.crash(second)
    trio.crash(first)
    trio.start(first)
    trio.now += 1.5
    # In the first attempt c1 only learns the newer term from c3's reply; the second one elects c1.
    trio.elect("c1", "c3")
    trio.elect("c1", "c3")
    assert first.core.is_leader
    _copy_old_entry(trio, entry_index)
    assert (entry_index <= len(trio.committed)) == (remove_guard is not None)


def _copy_old_entry(trio: Trio, entry_index: int) -> None:
    """
    Deliver only the old entry to c3, without the first entry of the leader's own term.
    """
    for position, (sender, target, request) in enumerate(trio.messages):
        if not isinstance(request, AppendRequest):
            continue
        old = tuple(entry for entry in request.entries if entry.index <= entry_index)
        trio.messages[position] = (sender, target, replace(request, entries=old))
    trio.deliver_from("c1", "c3", AppendRequest)
    trio.deliver_from("c3", "c1", AppendReply)
    # C1 has learned c3's match index from the reply to its first message (the probe). Of the next
    # message, again only the old entry is delivered to c3.
    for position, (sender, target, request) in enumerate(trio.messages):
        if not isinstance(request, AppendRequest):
            continue
        old = tuple(entry for entry in request.entries if entry.index <= entry_index)
        trio.messages[position] = (sender, target, replace(request, entries=old))
    trio.deliver_from("c1", "c3", AppendRequest)
    trio.deliver_from("c3", "c1", AppendReply)


@pytest.mark.parametrize("remove_guard", [None, guards.answer_for_previous_disk])
def test_a_wiped_voter_does_not_vote_again_in_the_same_term(monkeypatch, remove_guard) -> None:
    """
    C3 votes for c2 and loses its disk; c1 is a candidate in the same term and asks c3 for its vote.

    Without the guard, the now empty replica of c3 would answer as the voter that it was before,
    without a record of its vote. Two control VMs would be leaders in one term and send orders to
    the platform with the same fencing number.
    """
    trio = Trio.with_leader_c1()
    third = trio.node_by_daemon["c3"]
    trio.messages.clear()
    trio.now += 1.5
    first = trio.node_by_daemon["c1"]
    trio.crash(first)
    trio.start(first)
    trio.now += 1.5
    trio.elect("c2", "c3")
    second = trio.node_by_daemon["c2"]
    assert second.core.is_leader
    term = second.core.term
    trio.messages.clear()
    old = third.replica
    trio.wipe(third)
    if remove_guard is not None:
        remove_guard(monkeypatch)
    trio.now += 1.5
    state = first.core.state
    request = VoteRequest(term, state.log.last_index, state.log.last_term)
    trio.step(third, events.Received(first.replica, old, request))
    trio.sync_all(third)
    granted = [
        message
        for _, _, message in trio.messages
        if isinstance(message, VoteReply) and message.granted
    ]
    assert bool(granted) == (remove_guard is not None)


def seconds_until_leader(trio: Trio) -> float:
    started_at = trio.now
    while not any(node.core and node.core.is_leader for node in trio.node_by_daemon.values()):
        trio.step_without_faults()
    return trio.now - started_at


def test_after_the_end_of_all_processes_a_leader_is_elected_within_the_election_timeout() -> None:
    # All VMs lose power. Each replica grants no vote for one election timeout, as it may have
    # supported a lease before. That alone would keep callers without service for this time, and
    # longer if the first candidate asks a moment too early. But no process is left that could hold
    # a lease, and the replicas can tell so to each other.
    trio = Trio.with_leader_c1()
    for node in trio.node_by_daemon.values():
        trio.crash(node)
    trio.messages.clear()
    trio.now += 1.0
    for node in trio.node_by_daemon.values():
        trio.start(node)

    assert (
        seconds_until_leader(trio)
        < trio.node_by_daemon["c1"].core.state.config.election_timeout_s / 2
    )


def test_a_replica_that_restarts_beside_a_leader_starts_no_election() -> None:
    trio = Trio.with_leader_c1()
    term = trio.node_by_daemon["c1"].core.state.hard_state.term
    for _ in range(3):
        trio.crash(trio.node_by_daemon["c3"])
        trio.start(trio.node_by_daemon["c3"])
        for _ in range(50):
            trio.step_without_faults()

    assert trio.leader() == "c1"
    assert trio.node_by_daemon["c1"].core.state.hard_state.term == term


def test_one_silent_voter_keeps_the_others_from_an_early_election() -> None:
    # The leader is cut off and holds its lease, and the two others restart. They are idle, but the
    # leader has not said so: neither may lead before the lease has certainly expired.
    trio = Trio.with_leader_c1()
    for name in ("c2", "c3"):
        trio.crash(trio.node_by_daemon[name])
        trio.start(trio.node_by_daemon[name])
    trio.messages.clear()
    timeout_s = trio.node_by_daemon["c2"].core.state.config.election_timeout_s
    restarted_at = trio.now
    while not any(trio.node_by_daemon[name].core.is_leader for name in ("c2", "c3")):
        trio.now += 0.02
        for name in ("c2", "c3"):
            trio.tick_and_sync(name)
        trio.messages = [one for one in trio.messages if "c1" not in (one[0].daemon, one[1].daemon)]
        for sender, target in (("c2", "c3"), ("c3", "c2")):
            trio.deliver_from(sender, target)
        assert trio.now - restarted_at < 10.0

    assert trio.now - restarted_at >= timeout_s
