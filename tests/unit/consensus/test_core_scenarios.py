"""Failures of the consensus core that need an exact order, and what they do without the guard."""

from __future__ import annotations

from dataclasses import replace

import pytest
from unit.consensus import guards
from unit.consensus.random_run import RandomRun

from ibisspring_consensus import events
from ibisspring_consensus.messages import AppendReply, AppendRequest, VoteReply, VoteRequest

ANY = object


class Trio(RandomRun):
    """Three cores whose messages pass when the test says so; c1 leads and all else is quiet."""

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
        """Let every other stay silent until this one leads."""
        while self.leader() != daemon:
            self.step(self.node_by_daemon[self.leader()], events.Resign())
            for _ in range(200):
                self.step_without_faults()
            assert self.leader()

    def deliver_from(self, sender: str, target: str, kind: type = ANY) -> int:
        """Deliver what waits on one path, with all syncs, and return how many messages it was."""
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
        """The leader's heartbeat round reaches one follower, and the answer comes back."""
        self.now += 0.25
        self.tick_and_sync("c1")
        assert self.deliver_from("c1", follower)
        assert self.deliver_from(follower, "c1")

    def elect(self, candidate: str, voter: str) -> None:
        """The candidate times out and asks one voter alone, which makes a majority of three."""
        node = self.node_by_daemon[candidate]
        node.core.state.election_due_at = self.now
        self.tick_and_sync(candidate)
        for _ in range(2):
            self.deliver_from(candidate, voter, VoteRequest)
            self.deliver_from(voter, candidate, VoteReply)

    def elect_c2_with_c3(self) -> None:
        """C2 leads if c3 lets it, and gets the answer to its first round."""
        self.elect("c2", "c3")
        self.deliver_from("c2", "c3", AppendRequest)
        self.deliver_from("c3", "c2", AppendReply)


@pytest.mark.parametrize("remove_guard", [None, guards.vote_despite_leader_contact])
def test_a_voter_that_hears_the_leader_helps_no_other(monkeypatch, remove_guard) -> None:
    """
    Users see the platform get orders from two processes that both hold a lease.

    C2 is cut off from the leader c1 and times out, while c3 has just answered c1, which therefore
    holds a lease. C2 asks c3 for its vote. Cause: c3 gives it although its answer still carries the
    lease of c1.
    """
    trio = Trio.with_leader_c1()
    for _ in range(8):
        trio.heartbeat_round_with("c3")
    trio.messages.clear()
    _expect_overlap(monkeypatch, remove_guard, trio, trio.elect_c2_with_c3)


@pytest.mark.parametrize("remove_guard", [None, guards.vote_right_after_restart])
def test_a_voter_that_restarted_waits_before_it_votes(monkeypatch, remove_guard) -> None:
    """
    Users see the platform get orders from two processes that both hold a lease.

    As above, but c3 crashes after its answer and is back at once. Cause: it forgot that it answered
    c1 and votes for c2 while the lease that its answer carries is not over.
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
def test_answers_that_were_long_on_their_way_carry_no_lease(monkeypatch, remove_guard) -> None:
    """
    Users see the platform get orders from two processes that both hold a lease.

    The answers to a round are on their way for almost an election timeout; then c1 is cut off and
    c2 is elected. Cause: c1 counts its lease from the receipt of the answers, the followers their
    promise from the heartbeat.
    """
    trio = Trio.with_leader_c1()
    trio.now += 0.25
    trio.tick_and_sync("c1")
    trio.deliver_from("c1", "c2", AppendRequest)
    trio.deliver_from("c1", "c3", AppendRequest)

    def late_answers_then_election() -> None:
        trio.now += 0.95
        trio.deliver_from("c2", "c1", AppendReply)
        trio.deliver_from("c3", "c1", AppendReply)
        trio.messages.clear()
        trio.now += 0.1
        trio.node_by_daemon["c2"].core.state.election_due_at = trio.now
        trio.elect_c2_with_c3()

    _expect_overlap(monkeypatch, remove_guard, trio, late_answers_then_election)


def _expect_overlap(monkeypatch, remove_guard, trio, run_failure) -> None:
    """Without the guard two leases overlap; with it none do."""
    if remove_guard is None:
        run_failure()
        trio.check_leases()
        return
    remove_guard(monkeypatch)
    run_failure()
    with pytest.raises(AssertionError, match="two leases at once"):
        trio.check_leases()


@pytest.mark.parametrize("remove_guard", [None, guards.commit_older_terms])
def test_an_older_entry_on_a_majority_is_not_committed_by_counting(
    monkeypatch, remove_guard
) -> None:
    """
    An operator's accepted rules vanish after two changes of the leader.

    C1 appends an entry and falls; c2, without it, leads and appends one of its own and falls; c1
    leads again and copies its old entry to c3, which makes a majority. C1 falls and c2 leads again:
    its entry is the newer one and overwrites the old. Cause: c1 had answered "accepted" because a
    majority held the old entry.
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
    # The first try only tells c1 that there is a newer term.
    trio.elect("c1", "c3")
    trio.elect("c1", "c3")
    assert first.core.is_leader
    _copy_old_entry(trio, entry_index)
    assert (entry_index <= len(trio.committed)) == (remove_guard is not None)


def _copy_old_entry(trio: Trio, entry_index: int) -> None:
    """Only the old entry arrives; the leader's own first entry of its term is still on its way."""
    for position, (sender, target, request) in enumerate(trio.messages):
        if not isinstance(request, AppendRequest):
            continue
        old = tuple(entry for entry in request.entries if entry.index <= entry_index)
        trio.messages[position] = (sender, target, replace(request, entries=old))
    trio.deliver_from("c1", "c3", AppendRequest)
    trio.deliver_from("c3", "c1", AppendReply)
    # The probe told where c3 stands; now the old entry goes there, alone.
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
    Two control VMs lead in one term, and both send orders under the same fencing number.

    C3 votes for c2 and loses its disk right after; c1 stands in the same term and asks c3 as well.
    Cause: the empty replica takes itself for the voter that it was and does not know of its vote.
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
