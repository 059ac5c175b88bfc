"""
The directory's replicated state machine.

The state machine is deterministic: it reads no clock and no random numbers, so that replicas which
apply the same log hold the same state, including replicas that started from a snapshot.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from ibisspring_core.messages.codec import decode, encode
from ibisspring_core.messages.crash_suspects import CrashSuspect
from ibisspring_core.messages.directory import Group
from ibisspring_core.messages.endpoints import EndpointRecord
from ibisspring_core.messages.evacuations import Evacuation
from ibisspring_core.routes.model import RouteTable
from ibisspring_core.suspect_state import SuspectState
from ibisspring_directory.commands import (
    COMMANDS,
    CloseWindow,
    EndpointJoins,
    EndpointLeaves,
    FoundJobs,
    PutTable,
    PutVersion,
    RecordEnd,
    RemoveSuspect,
    RetireStore,
    SetEvacuation,
    SetFleet,
    WindowReported,
)

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel

# Maximum number of endpoint incarnations that are stored after they left, so that their delayed
# announcements are dropped. Without the limit the state would grow in a system that replaces its
# endpoints continuously.
MAX_DEPARTED = 4096
# Maximum number of records of endpoints that joined and have not left. Without the limit they would
# accumulate, because an endpoint that is permanently lost in a crash never announces its departure.
# The records of the endpoints that joined first are removed.
MAX_JOINED = 1024


@dataclass(frozen=True)
class Snapshot:
    """
    The complete replicated state of the directory, as it is encoded in a snapshot.

    :param document: the operator's document of the route table, byte for byte.
    :param version_by_model: by model, the newest weight version that trainers published.
    :param left: endpoint, incarnation and state of endpoints that are leaving or have left; the
        one that departed first is first.
    :param joined: first announcements of the endpoints that have not left; the one that joined
        first is first.
    :param job_group: first members of the jobs' log; None before its bootstrap.
    :param retiring: peer addresses of the stores that are being retired.
    :param fleet_by_service: by service, the minimum number of endpoints to keep.
    :param closed_window: newest usage window whose counts are final; -1 for none.
    :param windows: closed usage windows that are not reported yet.
    :param evacuations: newest record of each data centre that was ever evacuated.
    :param suspects: requests under which endpoints ended.
    :param suspect_change: number of the newest change of the suspects.
    """

    table: RouteTable | None = None
    document: bytes = b""
    version_by_model: dict[str, int] = field(default_factory=dict)
    left: tuple[tuple[str, int, str], ...] = ()
    joined: tuple[EndpointRecord, ...] = ()
    job_group: Group | None = None
    retiring: tuple[str, ...] = ()
    fleet_by_service: dict[str, int] = field(default_factory=dict)
    closed_window: int = -1
    windows: tuple[CloseWindow, ...] = ()
    evacuations: tuple[Evacuation, ...] = ()
    suspects: tuple[CrashSuspect, ...] = ()
    suspect_change: int = 0


class DirectoryState:
    """
    The service `state`: the replicated state of the directory, in the memory of a control daemon.

    Only the consensus service changes this state, by applying committed commands; other services
    read it.
    """

    name = "state"

    def __init__(self) -> None:
        self._load_snapshot(Snapshot())
        self._change_callbacks: list[Callable[[], None]] = []
        self._apply_by_type: dict[type[Any], Callable[[Any], None]] = {
            PutTable: self._put_table,
            PutVersion: self._put_version,
            EndpointJoins: self._endpoint_joins,
            EndpointLeaves: self._endpoint_leaves,
            FoundJobs: self._found_jobs,
            RetireStore: self._retire,
            SetFleet: self._set_fleet,
            CloseWindow: self._close_window,
            WindowReported: self._window_reported,
            SetEvacuation: self._set_evacuation,
            RecordEnd: lambda command: self.suspects.record(command.suspect),
            RemoveSuspect: lambda command: self.suspects.clear(
                command.identity, command.known_ends
            ),
        }

    async def start(self, kernel: Kernel) -> None:
        """No-op: the state depends on no other service."""

    async def stop(self) -> None:
        """No-op: nothing runs in the background."""

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Register a callback that is called after each change of the state."""
        self._change_callbacks.append(callback)

    @property
    def table_version(self) -> int:
        """Version of the current route table; -1 before the first one."""
        return self.table.version if self.table is not None else -1

    @property
    def evacuation_change(self) -> int:
        """Number of the newest change of any evacuation; 0 before the first one."""
        changes = (one.change for one in self.evacuation_by_data_centre.values())
        return max(changes, default=0)

    @property
    def evacuated(self) -> tuple[str, ...]:
        """Data centres whose endpoints get no new requests, sorted."""
        evacuations = self.evacuation_by_data_centre.values()
        return tuple(sorted(one.data_centre for one in evacuations if one.active))

    def apply(self, index: int, data: bytes) -> bytes:
        """
        Apply one committed command.

        :param index: log index of the command.
        :param data: the command, encoded by COMMANDS.
        :return: always empty; the effect of a command is read from the state.
        """
        command = COMMANDS.decode(data)
        self._apply_by_type[type(command)](command)
        self._notify_changed()
        return b""

    def snapshot(self) -> bytes:
        """Encode the complete state as a Snapshot, for `restore`."""
        left = tuple(
            (name, incarnation, state)
            for (name, incarnation), state in self.state_by_departed.items()
        )
        return encode(
            Snapshot(
                self.table,
                self.document,
                self.version_by_model,
                left,
                tuple(self.joined_by_endpoint.values()),
                self.job_group,
                self.retiring,
                self.fleet_by_service,
                self.closed_window,
                tuple(self.window_by_number.values()),
                tuple(self.evacuation_by_data_centre.values()),
                tuple(self.suspects.by_identity.values()),
                self.suspects.change,
            )
        )

    def restore(self, data: bytes) -> None:
        """
        Replace the complete state by that of a snapshot.

        :param data: an encoded Snapshot, as `snapshot` returned it on any replica.
        """
        self._load_snapshot(decode(data, Snapshot))
        self._notify_changed()

    def _notify_changed(self) -> None:
        for callback in self._change_callbacks:
            callback()

    def _load_snapshot(self, snapshot: Snapshot) -> None:
        self.table = snapshot.table
        self.document = snapshot.document
        self.version_by_model = dict(snapshot.version_by_model)
        self.state_by_departed = {
            (name, incarnation): state for name, incarnation, state in snapshot.left
        }
        self.joined_by_endpoint = {record.endpoint: record for record in snapshot.joined}
        self.job_group = snapshot.job_group
        self.retiring = snapshot.retiring
        self.fleet_by_service = dict(snapshot.fleet_by_service)
        self.closed_window = snapshot.closed_window
        self.window_by_number = {window.window: window for window in snapshot.windows}
        self.evacuation_by_data_centre = {one.data_centre: one for one in snapshot.evacuations}
        self.suspects = SuspectState(snapshot.suspects, snapshot.suspect_change)

    def _put_table(self, command: PutTable) -> None:
        # A command with the current version is ignored as well: a second table under the same
        # version must neither be used nor be returned to operators.
        if command.table.version <= self.table_version:
            return
        self.table = command.table
        self.document = command.document

    def _put_version(self, command: PutVersion) -> None:
        known = self.version_by_model.get(command.model, 0)
        self.version_by_model[command.model] = max(known, command.version)

    def _endpoint_joins(self, command: EndpointJoins) -> None:
        record = command.record
        if (record.endpoint, record.incarnation) in self.state_by_departed:
            return
        known = self.joined_by_endpoint.pop(record.endpoint, record)
        newest = max(known, record, key=lambda candidate: candidate.incarnation)
        self.joined_by_endpoint[record.endpoint] = newest
        while len(self.joined_by_endpoint) > MAX_JOINED:
            del self.joined_by_endpoint[next(iter(self.joined_by_endpoint))]

    def _endpoint_leaves(self, command: EndpointLeaves) -> None:
        key = (command.endpoint, command.incarnation)
        joined = self.joined_by_endpoint.get(command.endpoint)
        if joined is not None and joined.incarnation <= command.incarnation:
            del self.joined_by_endpoint[command.endpoint]
        if self.state_by_departed.get(key) == "gone":
            return
        self.state_by_departed[key] = command.state
        while len(self.state_by_departed) > MAX_DEPARTED:
            del self.state_by_departed[next(iter(self.state_by_departed))]

    def _found_jobs(self, command: FoundJobs) -> None:
        if self.job_group is None:
            self.job_group = command.group

    def _retire(self, command: RetireStore) -> None:
        if command.address not in self.retiring:
            self.retiring = (*self.retiring, command.address)

    def _set_fleet(self, command: SetFleet) -> None:
        self.fleet_by_service.setdefault(command.service, command.count)

    def _close_window(self, command: CloseWindow) -> None:
        # Only the first command that closes a window has an effect: a leader that was deposed since
        # may already have reported the counts of that command.
        if command.window <= self.closed_window:
            return
        self.closed_window = command.window
        self.window_by_number[command.window] = command

    def _set_evacuation(self, command: SetEvacuation) -> None:
        known = self.evacuation_by_data_centre.get(command.data_centre)
        if command.expected_change != (known.change if known is not None else 0):
            return
        if command.active == (known is not None and known.active):
            return
        self.evacuation_by_data_centre[command.data_centre] = Evacuation(
            command.data_centre, self.evacuation_change + 1, command.active
        )

    def _window_reported(self, command: WindowReported) -> None:
        for number in [number for number in self.window_by_number if number <= command.window]:
            del self.window_by_number[number]


__all__ = ["DirectoryState", "Snapshot"]
