"""The service `consensus`: connects the consensus core to clock, disk, network, state machine."""

from __future__ import annotations

import asyncio
import os
import random
import signal
from collections import deque
from typing import TYPE_CHECKING

import eliot

from ibisspring_consensus import events
from ibisspring_consensus.config import ReplicaConfig
from ibisspring_consensus.core import Core
from ibisspring_consensus.files import Damage
from ibisspring_consensus.messages import COMMAND, Entry, ReplicaId
from ibisspring_consensus.peers import Peers
from ibisspring_consensus.proposals import Committed, PendingResults, copy_result
from ibisspring_consensus.snapshots import snapshot_job
from ibisspring_consensus.stalls import StallWatch
from ibisspring_consensus.storage import Storage
from ibisspring_consensus.writer import Writer, retry_while_refused
from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Reason, Refusal

if TYPE_CHECKING:
    from ibisspring_consensus.messages import SnapshotMeta
    from ibisspring_consensus.peer import Identity
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.settings import Settings

# Number of heartbeats that a replica misses before it checks its connections. With the time limits
# of the check this is less than the shortest election timeout.
MISSED_HEARTBEATS = 2
# Largest command that a log accepts, in bytes. An entry is replicated in one message, so one that
# exceeds the limit of a message would never be committed, nor would any entry after it.
MAX_COMMAND_BYTES = 8 * 1024 * 1024


class ConsensusNode:
    """Runs one replica of a replicated log as a service of the daemon."""

    name = "consensus"

    def __init__(self, replica: ReplicaConfig) -> None:
        self.replica_config = replica
        self.config = replica.core
        self.core: Core | None = None
        self.applied_index = 0
        self.failed = False
        self._checked_contact_at: float | None = None
        self._stall = StallWatch()
        self.group_commit = True
        self.pending_results = PendingResults(retry_after_s=replica.core.election_timeout_s)
        self._snapshot_in_progress = False
        self._is_serving_leader = False
        self._queued_commands: list[tuple[int, bytes]] = []
        self._queued_reads: list[asyncio.Future[int | Refusal]] = []
        self._unsynced_effects: deque[tuple[int, float]] = deque()

    @classmethod
    def from_config(cls, settings: Settings) -> ConsensusNode:
        """
        Build a control daemon's replica from the daemon's settings.

        :param settings: validated settings of a daemon with the control role.
        :return: the service; `start` opens the replica's files.
        """
        return cls(ReplicaConfig.from_config(settings))

    async def start(self, kernel: Kernel) -> None:
        """Open the replica's files, restore the state machine and start the core's ticks."""
        config = self.replica_config
        self._state = kernel.find(config.state)
        self._counters = kernel.find("counters")
        timer = kernel.find("timer")
        storage = await self._open_storage(kernel.stopping)
        if isinstance(storage, Damage):
            eliot.log_message("consensus:damaged", damage=str(storage))
            # `SystemExit` ends the daemon with this message on its output.
            raise SystemExit(f"ibisspringd: refusing to start: {storage}")
        self.replica = ReplicaId(config.daemon, storage.disk_id)
        self._restore(storage)
        started_s = config.process_started_s
        self.core = Core.from_stored(
            self.replica,
            self.config,
            storage.stored,
            random.Random(),
            boot_now() if started_s is None else started_s,
        )
        self.writer = Writer(storage, self._on_persist_synced, self._fail)
        self.writer.start()
        self._peers = Peers.from_config(
            config, self.replica, self._read_chunk, self._on_peer_identity, self._counters
        )
        self._tick_subscription = timer.subscribe("consensus", self.config.tick_s, self._tick)

    async def _open_storage(self, stopping: asyncio.Event) -> Storage | Damage:
        """
        Open the replica's files, and retry while the disk is full or no file descriptor is free.

        Raises `SystemExit` if the daemon is asked to stop during the wait.
        """
        folder = self.replica_config.folder
        opening = asyncio.create_task(
            retry_while_refused(lambda: asyncio.to_thread(Storage.from_folder, folder))
        )
        stopped = asyncio.create_task(stopping.wait())
        await asyncio.wait((opening, stopped), return_when=asyncio.FIRST_COMPLETED)
        stopped.cancel()
        if opening.done():
            return opening.result()
        opening.cancel()
        raise SystemExit(0)

    def _restore(self, storage: Storage) -> None:
        snapshot = storage.stored.snapshot
        self.applied_index = snapshot.index
        if snapshot.index:
            self._state.restore(storage.read_snapshot(snapshot.index))

    async def stop(self) -> None:
        """Resign leadership, refuse pending proposals and reads, and close the replica's files."""
        self._tick_subscription.cancel()
        self.dispatch(events.Resign())
        self.pending_results.stop()
        await self._peers.stop()
        await self.writer.stop()
        if self.failed:
            # A non-zero exit code tells the supervisor that this was not a planned stop.
            raise SystemExit("ibisspringd: ended after a failure; see consensus:* in the log")

    @property
    def is_leader(self) -> bool:
        """
        Whether this replica is the leader and has applied all entries committed in earlier terms.
        """
        return self._is_serving_leader and not self.failed

    @property
    def term(self) -> int:
        return self.core.term

    @property
    def fencing(self) -> int:
        """Fencing number: the leader's term, which is higher for each new leader than before."""
        return self.core.term

    @property
    def leader_hint(self) -> str:
        """Daemon id of the leader as far as this replica knows; empty if none is known."""
        leader = self.core.state.leader
        return leader.daemon if leader is not None else ""

    def lease_left_s(self) -> float:
        """
        Return for how long no other replica can hold the leader lease.

        :return: remaining duration of this replica's lease in seconds; 0.0 without a lease.
        """
        if not self.is_leader:
            return 0.0
        return max(0.0, self.core.lease_until() - boot_now())

    async def propose(self, data: bytes) -> Committed | Refusal:
        """
        Append a command to the log, and wait until it is committed and applied.

        :param data: the encoded command for the state machine.
        :return: the command's log index and result; a refusal with NO_LEADER and `not_run` if the
            command was not appended to any log; with MAY_HAVE_RUN if the leader changed before the
            command was committed; with TOO_LARGE and `not_run` if it exceeds MAX_COMMAND_BYTES.
        """
        if len(data) > MAX_COMMAND_BYTES:
            self._counters.add("consensus.command_too_large")
            eliot.log_message(
                "consensus:command_too_large",
                reason=Reason.TOO_LARGE.value,
                bytes=len(data),
                max_bytes=MAX_COMMAND_BYTES,
            )
            detail = f"the command is larger than {MAX_COMMAND_BYTES} bytes"
            return Refusal(Reason.TOO_LARGE, not_run=True, detail=detail)
        number, future = self.pending_results.add_proposal()
        self._queued_commands.append((number, data))
        submitted_s = boot_now()
        if not self.group_commit:
            self._flush_commands()
        elif len(self._queued_commands) == 1:
            asyncio.get_running_loop().call_soon(self._flush_commands)
        committed = await future
        outcome = "committed" if isinstance(committed, Committed) else committed.reason.value
        self._counters.observe("commit_seconds", boot_now() - submitted_s, outcome)
        return committed

    def _flush_commands(self) -> None:
        commands = tuple(self._queued_commands)
        self._queued_commands.clear()
        self.dispatch(events.Propose(commands))

    def set_group_commit(self, on: bool) -> None:
        """
        Enable or disable group commit: one disk sync for all commands that are queued.

        :param on: False syncs each command separately, for measurements.
        """
        self.group_commit = on
        self.writer.group_commit = on

    async def confirm_read(self) -> int | Refusal:
        """
        Confirm with a quorum that this replica was still the leader after the call began.

        :return: an applied log index: a read of the state at this or a later index is current. A
            refusal with NO_LEADER if the leadership was not confirmed.
        """
        future = asyncio.get_running_loop().create_future()
        self._queued_reads.append(future)
        if len(self._queued_reads) == 1:
            asyncio.get_running_loop().call_soon(self._flush_reads)
        return await future

    def _flush_reads(self) -> None:
        """Confirm all queued reads with one heartbeat round."""
        futures = tuple(self._queued_reads)
        self._queued_reads.clear()
        number, confirmed = self.pending_results.add_read()
        confirmed.add_done_callback(lambda done: copy_result(done, futures))
        self.dispatch(events.ConfirmRead(number))

    def dispatch(self, event: events.Event) -> None:
        """
        Pass an event to the core and carry out the effects that the core returns.

        :param event: the event; its time is the present.
        """
        if self.failed:
            self.pending_results.stop()
            return
        try:
            for effect in self.core.step(event, boot_now()):
                self._run_effect(effect)
            self._update_leadership()
        except Exception as error:
            # Some effects may not have been carried out: entries not written, or only a part of the
            # entries applied. The core's state already assumes that all effects were carried out,
            # so only a restart from the synced state is safe.
            eliot.log_message("consensus:failed", event=type(event).__name__, error=repr(error))
            self._fail()

    def _run_effect(self, effect: events.Effect) -> None:
        match effect:
            case events.Persist() | events.InstallSnapshot():
                if isinstance(effect, events.InstallSnapshot):
                    self._state.restore(effect.data)
                    self.applied_index = effect.meta.index
                self._unsynced_effects.append((effect.sequence, boot_now()))
                self.writer.add(effect)
            case events.Send(target, message):
                self._peers.send(target, message)
            case events.Apply(entries):
                self._apply(entries)
            case events.Proposed(number, index, term):
                self.pending_results.proposed(number, index, term)
            case events.ProposalRefused(number):
                self.pending_results.refused(number)
            case events.ReadConfirmed(read, index):
                self.pending_results.read_confirmed(read, index)
            case events.ReadRefused(read):
                self.pending_results.read_refused(read)
            case events.BecameLeader(term):
                self._counters.add("consensus.elected")
                eliot.log_message("consensus:elected", daemon=self.replica.daemon, term=term)
            case events.SteppedDown(term, cause):
                self._counters.add("consensus.stepped_down")
                eliot.log_message("consensus:stepped_down", term=term, cause=cause)
                self.pending_results.stepped_down()

    def _apply(self, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            result = b""
            if entry.kind == COMMAND:
                result = self._state.apply(entry.index, entry.data)
            self.applied_index = entry.index
            self.pending_results.applied(entry.index, entry.term, result)
        if self.applied_index - self.core.snapshot.index >= self.replica_config.snapshot_every:
            self.take_snapshot()

    def _update_leadership(self) -> None:
        """Report this replica as leader only once it has applied all entries of earlier terms."""
        self._is_serving_leader = (
            self.core.is_leader and self.applied_index >= self.core.state.noop_index
        )

    def take_snapshot(self) -> bool:
        """
        Take a snapshot of the state machine and queue it for writing.

        :return: False if a snapshot is being written or no entry was applied since the last
            snapshot.
        """
        index = self.applied_index
        if self._snapshot_in_progress or index <= self.core.snapshot.index:
            return False
        self._snapshot_in_progress = True
        data = self._state.snapshot()
        self.writer.add(snapshot_job(self.core.state.log, index, data, self._snapshot_done))
        return True

    def _snapshot_done(self, meta: SnapshotMeta, keep_from: int) -> None:
        self._snapshot_in_progress = False
        self._counters.add("consensus.snapshots")
        self.dispatch(events.SnapshotTaken(meta, keep_from))

    async def _tick(self, now: float) -> None:
        self.dispatch(events.Tick())
        self._check_quiet_connections()
        self._report_stall(now)

    def _report_stall(self, now: float) -> None:
        """Log once that commands of this leader wait for a commit that does not come."""
        state = self.core.state
        waiting = state.log.last_index - state.commit_index if self.core.is_leader else 0
        if not self._stall.check(state.commit_index, waiting, now):
            return
        self._counters.add("consensus.stalled")
        match_by_daemon = {
            replica.daemon: progress.match_index
            for replica, progress in state.progress_by_replica.items()
        }
        eliot.log_message(
            "consensus:stalled",
            reason="no commit",
            term=self.term,
            waiting=waiting,
            commit_index=state.commit_index,
            synced_index=state.synced_index,
            last_index=state.log.last_index,
            match_index=match_by_daemon,
            lease_left_s=round(self.lease_left_s(), 3),
        )

    def _check_quiet_connections(self) -> None:
        """
        Check the connections once the leader's heartbeats stay away.

        A connection that accepts bytes and returns none is thus replaced before the election, which
        would fail if the requests for votes or the replies were sent on it.
        """
        state = self.core.state
        contact_at = state.leader_contact_at
        if self.core.is_leader or contact_at is None or contact_at == self._checked_contact_at:
            return
        if state.now >= contact_at + MISSED_HEARTBEATS * self.config.heartbeat_s:
            self._checked_contact_at = contact_at
            self._peers.check_connections()

    def _on_persist_synced(self, sequence: int) -> None:
        now = boot_now()
        while self._unsynced_effects and self._unsynced_effects[0][0] <= sequence:
            _, submitted_s = self._unsynced_effects.popleft()
            self._counters.observe("sync_seconds", now - submitted_s, "synced")
        self.dispatch(events.Persisted(sequence))

    def _fail(self) -> None:
        """Stop taking part in consensus and end the daemon with SIGTERM."""
        self.failed = True
        self.pending_results.stop()
        os.kill(os.getpid(), signal.SIGTERM)

    async def _read_chunk(self, index: int, offset: int) -> bytes | None:
        return await self.writer.read_snapshot(index, offset, self.config.chunk_bytes)

    def _on_peer_identity(self, identity: Identity) -> None:
        self.dispatch(events.ReplicaSeen(identity.replica, identity.cluster))


__all__ = ["MAX_COMMAND_BYTES", "ConsensusNode"]
