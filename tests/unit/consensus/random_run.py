"""
A random run of several consensus cores in one thread, which a seed determines.

Messages are lost, duplicated and reordered, processes crash, disks are lost and clocks run at
different rates. After each event the run checks invariants, such as at most one leader per term.
"""

from __future__ import annotations

import hashlib
import random
import zlib
from dataclasses import replace

from unit.consensus.run_nodes import Disk, Node, StoreSnapshot

from ibisspring_consensus import events
from ibisspring_consensus.core import Core, StoredState
from ibisspring_consensus.messages import (
    MEMBERS,
    Entry,
    Members,
    ReplicaId,
    SnapshotChunk,
    SnapshotMeta,
    VoteReply,
)
from ibisspring_consensus.quorum import is_quorum
from ibisspring_consensus.state import CoreConfig
from ibisspring_core.messages.codec import decode

CONFIG = CoreConfig(max_append_bytes=40, max_in_flight=3, chunk_bytes=24)
# Seconds on a daemon's clock per second of the run. The leader lease is 0.8 of the election
# timeout, which tolerates clock rates that differ by up to a tenth.
CLOCK_RATES = (0.95, 1.0, 1.05)
# Number of log entries before a snapshot that a replica keeps.
SNAPSHOT_TAIL = 3


class RandomRun:
    """The nodes (simulated daemons), the messages in transit and the checks of the invariants."""

    def __init__(self, seed: int, count: int) -> None:
        self.random = random.Random(seed)
        self.now = 100.0
        # Runs differ in how far a tick advances the time, and in how long blocked connections last.
        self.max_tick_s = self.random.choice((0.05, 0.1, 0.2, 0.4))
        self.unblock_probability = self.random.choice((0.1, 0.2, 0.4))
        self.disk_count = 0
        self.old_disks: list[tuple[str, Disk]] = []
        self.last_number = 0
        self.messages: list[tuple[ReplicaId, ReplicaId, object]] = []
        self.blocked: set[tuple[str, str]] = set()
        self.committed: list[Entry] = []
        self.digests: list[bytes] = [b""]
        self.members = Members()
        self.members_index = 0
        self.leader_by_term: dict[int, ReplicaId] = {}
        self.entry_by_position: dict[tuple[int, int], tuple[Entry, int]] = {}
        self.vote_by_voter: dict[tuple[ReplicaId, int], ReplicaId] = {}
        self.read_floor: dict[int, int] = {}
        self.acknowledged = 0
        self.node_by_daemon: dict[str, Node] = {}
        for number in range(count):
            daemon = f"c{number + 1}"
            rate = self.random.choice(CLOCK_RATES)
            self.node_by_daemon[daemon] = Node(daemon, self._new_disk(), rate)
        for node in self.node_by_daemon.values():
            self.start(node)
        voters = tuple(node.replica for node in self.node_by_daemon.values())
        self.members = Members(voters, cluster="cluster")
        self.step(self.node_by_daemon["c1"], events.Bootstrap(self.members))
        self.heal()

    def _new_disk(self) -> Disk:
        self.disk_count += 1
        return Disk(f"disk{self.disk_count}")

    # Starts, crashes and disks

    def start(self, node: Node) -> None:
        disk = node.disk
        stored = StoredState(
            disk.synced_hard_state,
            disk.snapshot,
            disk.base_index,
            disk.base_term,
            tuple(disk.entries),
        )
        randomness = random.Random(self.random.random())
        node.core = Core.from_stored(
            node.replica, CONFIG, stored, randomness, self.started_at(node)
        )
        node.jobs.clear()
        node.snapshot_index = 0
        node.applied = disk.snapshot.index
        node.digest = disk.data_by_index.get(node.applied, b"")[:16]
        node.frozen = False

    def started_at(self, node: Node) -> float:
        """Return the start time of a node's process, in seconds on the node's clock."""
        return self.local_now(node)

    def local_now(self, node: Node) -> float:
        return self.now * node.rate

    def crash(self, node: Node) -> None:
        """
        End a node's process after a random part of its queued writes.

        The first queued jobs, up to a random number, are written completely. Of the next job, term
        and vote may be written without the log entries.
        """
        for _ in range(self.random.randint(0, len(node.jobs))):
            node.disk.write(node.jobs.popleft())
        if node.jobs and isinstance(node.jobs[0], events.Persist) and self.random.random() < 0.5:
            node.disk.synced_hard_state = node.jobs[0].hard_state or node.disk.synced_hard_state
        node.ended_at = self.now
        node.core = None

    def may_lose_disk(self, node: Node) -> bool:
        """Return whether the node may lose its disk: the other disks must still be a quorum."""
        present = {other.replica for other in self.node_by_daemon.values()} - {node.replica}
        return all(is_quorum(members, present) for members in self.possible_members())

    def possible_members(self) -> list[Members]:
        """List the committed membership and the later ones that may still be committed."""
        found = [self.members]
        for node in self.node_by_daemon.values():
            entries = list(node.disk.entries)
            for job in node.jobs:
                entries.extend(getattr(job, "entries", ()))
            found.extend(
                decode(entry.data, Members)
                for entry in entries
                if entry.kind == MEMBERS and entry.index > self.members_index
            )
        return found

    def wipe(self, node: Node) -> None:
        self.old_disks.append((node.daemon, node.disk))
        node.disk = self._new_disk()
        self.start(node)

    def remount_lost_disk(self, node: Node) -> None:
        """Restart a node with a disk that it had before and that was considered lost."""
        lost_disks = [disk for daemon, disk in self.old_disks if daemon == node.daemon]
        if lost_disks and self.may_lose_disk(node):
            node.disk = self.random.choice(lost_disks)
            self.start(node)

    # Events and effects

    def step(self, node: Node, event: events.Event) -> None:
        if node.core is None:
            return
        for effect in node.core.step(event, self.local_now(node)):
            self._run_effect(node, effect)
        self._check_log(node)

    def _run_effect(self, node: Node, effect: events.Effect) -> None:
        match effect:
            case events.Persist():
                node.jobs.append(effect)
            case events.InstallSnapshot(meta=meta, data=data):
                assert data[:16] == self.digests[meta.index], "another snapshot was installed"
                node.applied, node.digest = meta.index, data[:16]
                node.jobs.append(effect)
            case events.Send(target, message):
                self._send(node, target, message)
            case events.Apply(entries):
                for entry in entries:
                    self._apply(node, entry)
            case events.BecameLeader(term):
                self._check_leader(node, term)
            case events.ReadConfirmed(read, index):
                assert index >= self.read_floor[read], "a confirmed read was stale"

    def _send(self, node: Node, target: ReplicaId, message: object) -> None:
        if isinstance(message, SnapshotChunk):
            data = node.disk.data_by_index.get(message.meta.index)
            if data is None:
                return
            end = message.offset + CONFIG.chunk_bytes
            message = replace(message, data=data[message.offset : end])
        if isinstance(message, VoteReply) and message.granted and not message.pre:
            voted = self.vote_by_voter.setdefault((node.replica, message.request_term), target)
            assert voted == target, "two votes in one term"
        self.messages.append((node.replica, target, message))

    def _apply(self, node: Node, entry: Entry) -> None:
        assert entry.index == node.applied + 1, "applied out of order"
        node.applied = entry.index
        node.digest = hashlib.md5(node.digest + entry.data + entry.kind.encode()).digest()
        if entry.index > len(self.committed):
            self.committed.append(entry)
            self.digests.append(node.digest)
            if entry.kind == MEMBERS:
                self.members = decode(entry.data, Members)
                self.members_index = entry.index
        assert self.committed[entry.index - 1] == entry, "a committed entry was lost"
        assert self.digests[entry.index] == node.digest, "replicas differ"
        if node.core.is_leader:
            self.acknowledged = max(self.acknowledged, entry.index)

    # Invariants

    def _check_leader(self, node: Node, term: int) -> None:
        first = self.leader_by_term.setdefault(term, node.replica)
        assert first == node.replica, "two leaders in one term"
        log = node.core.state.log
        for entry in self.committed[log.base_index :]:
            held = log.term_at(entry.index)
            assert held == entry.term, "a leader lacks a committed entry"

    def _check_log(self, node: Node) -> None:
        log = node.core.state.log
        assert (
            log.snapshot.index >= node.snapshot_index
        ), "an older snapshot took a newer one's place"
        node.snapshot_index = log.snapshot.index
        first = max(log.base_index, log.last_index - 4) + 1
        for entry in log.slice(first, log.last_index):
            held = (entry, log.term_at(entry.index - 1))
            known = self.entry_by_position.setdefault((entry.index, entry.term), held)
            assert known == held, "logs differ at one index and term"

    def check_leases(self) -> None:
        holders = [
            node.daemon
            for node in self.node_by_daemon.values()
            if node.core is not None and node.core.lease_until() > self.local_now(node)
        ]
        assert len(holders) <= 1, f"two leases at once: {holders}"

    # Random events

    def random_event(self) -> None:
        """Carry out one random event on a random node: a message, tick, write, read or fault."""
        node = self.random.choice(list(self.node_by_daemon.values()))
        draw = self.random.random()
        if draw < 0.55 and self.messages:
            self.deliver(self.random.randrange(min(len(self.messages), 12)))
        elif draw < 0.68:
            self.tick(node)
        elif draw < 0.88:
            self.sync(node)
        elif draw < 0.97:
            self.write_or_read(node)
        else:
            self.inject_fault(node)
        self.check_leases()

    def tick(self, node: Node) -> None:
        self.now += self.random.random() * self.max_tick_s
        if not node.frozen:
            self.step(node, events.Tick())

    def deliver(self, position: int) -> None:
        sender, target, message = self.messages.pop(position)
        delivery_draw = self.random.random()
        if delivery_draw < 0.05 or (sender.daemon, target.daemon) in self.blocked:
            return
        if delivery_draw < 0.10:
            self.messages.append((sender, target, message))
        node = self.node_by_daemon[target.daemon]
        if node.core is None or node.frozen:
            return
        cluster = node.core.cluster
        self.step(node, events.Received(sender, target, message))
        sender_node = self.node_by_daemon[sender.daemon]
        if target != node.replica and sender_node.replica == sender:
            self.step(sender_node, events.ReplicaSeen(node.replica, cluster))

    def sync(self, node: Node) -> None:
        for _ in range(self.random.randint(0, len(node.jobs))):
            job = node.jobs.popleft()
            node.disk.write(job)
            if isinstance(job, StoreSnapshot):
                self.step(node, events.SnapshotTaken(job.meta, job.base + 1))
            else:
                self.step(node, events.Persisted(job.sequence))

    def write_or_read(self, node: Node) -> None:
        self.last_number += 1
        draw = self.random.random()
        if draw < 0.6:
            data = f"command {self.last_number}".encode()
            self.step(node, events.Propose(((self.last_number, data),)))
        elif draw < 0.9:
            self.read_floor[self.last_number] = self.acknowledged
            self.step(node, events.ConfirmRead(self.last_number))
        else:
            self.snapshot(node)

    def snapshot(self, node: Node) -> None:
        under_way = any(isinstance(job, StoreSnapshot) for job in node.jobs)
        if node.core is None or under_way or node.applied <= node.core.snapshot.index:
            return
        log = node.core.state.log
        data = node.digest + b"x" * self.random.randint(0, 60)
        meta = SnapshotMeta(
            node.applied,
            log.term_at(node.applied),
            log.members_at(node.applied),
            len(data),
            zlib.crc32(data),
        )
        node.jobs.append(StoreSnapshot(meta, data, max(log.base_index, meta.index - SNAPSHOT_TAIL)))

    def inject_fault(self, node: Node) -> None:
        draw = self.random.random()
        if node.core is None:
            if draw < 0.7:
                self.start(node)
            return
        if draw < self.unblock_probability:
            self.blocked.clear()
        elif draw < 0.55:
            self.crash(node)
        elif draw < 0.65 or node.frozen:
            node.frozen = not node.frozen
        elif draw < 0.72 and self.may_lose_disk(node):
            self.wipe(node)
        elif draw < 0.75:
            self.remount_lost_disk(node)
        elif draw < 0.90:
            other = self.random.choice(list(self.node_by_daemon))
            self.blocked.add((node.daemon, other))
        elif draw < 0.95:
            self.blocked |= {(node.daemon, other) for other in self.node_by_daemon}
            self.blocked |= {(other, node.daemon) for other in self.node_by_daemon}
        else:
            self.step(node, events.Resign())

    # Recovery

    def heal(self) -> None:
        """
        End all faults; the cluster must then recover.

        Within 4000 steps, each wiped disk must be replaced as a voter, and all nodes must have
        applied the same entries.
        """
        self.blocked.clear()
        for node in self.node_by_daemon.values():
            node.frozen = False
            if node.core is None:
                self.start(node)
        for _ in range(4000):
            self.step_without_faults()
            if self.has_recovered():
                return
        raise AssertionError("the cluster did not recover after all faults had ended")

    def step_without_faults(self) -> None:
        """
        Advance the time by 20 ms, complete all queued writes and deliver all messages.

        Messages to daemons that have ended are lost.
        """
        self.now += 0.02
        for node in self.node_by_daemon.values():
            if node.core is None:
                continue
            self.step(node, events.Tick())
            while node.jobs:
                job = node.jobs.popleft()
                node.disk.write(job)
                if isinstance(job, StoreSnapshot):
                    self.step(node, events.SnapshotTaken(job.meta, job.base + 1))
                else:
                    self.step(node, events.Persisted(job.sequence))
        for sender, target, message in self.drain_messages():
            node = self.node_by_daemon[target.daemon]
            if node.core is None:
                continue
            cluster = node.core.cluster
            self.step(node, events.Received(sender, target, message))
            sender_node = self.node_by_daemon[sender.daemon]
            if sender_node.core is None:
                continue
            if target != node.replica and sender_node.replica == sender:
                self.step(sender_node, events.ReplicaSeen(node.replica, cluster))
        self.check_leases()

    def drain_messages(self) -> list:
        messages, self.messages = self.messages, []
        return messages

    def has_recovered(self) -> bool:
        """
        Return whether each daemon's current disk is a voter and has applied all committed entries.
        """
        present = {node.replica for node in self.node_by_daemon.values()}
        recovered = bool(self.committed) and set(self.members.voters) == present
        recovered = recovered and not self.members.outgoing
        return recovered and all(
            node.applied == len(self.committed) for node in self.node_by_daemon.values()
        )


class SlowStarts(RandomRun):
    """
    A random run in which processes read their disk long after they started.

    A process starts at a random time between the end of the node's previous process and now, which
    is the time at which it reads the disk.
    """

    def started_at(self, node: Node) -> float:
        if node.ended_at is None:
            return self.local_now(node)
        return self.random.uniform(node.ended_at, self.now) * node.rate


def run(seed: int, count: int, steps: int, run_type: type[RandomRun] = RandomRun) -> RandomRun:
    """
    Run random events, then end all faults and wait for recovery; failure messages state the seed.

    :param seed: seed of the random events.
    :param count: number of daemons in the cluster.
    :param steps: number of random events before the recovery.
    :param run_type: `RandomRun` or a subclass with other faults.
    :return: the run after its cluster has recovered.
    """
    try:
        random_run = run_type(seed, count)
        for _ in range(steps):
            random_run.random_event()
        random_run.heal()
    except AssertionError as error:
        message = f"seed {seed}, {count} nodes, {steps} steps: {error}"
        raise AssertionError(message) from error
    return random_run


__all__ = ["RandomRun", "SlowStarts", "run"]
