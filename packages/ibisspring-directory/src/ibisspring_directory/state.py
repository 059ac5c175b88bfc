"""
The directory's replicated state machine.

It is deterministic: it reads no clock and no random numbers, so that replicas which apply the same
log hold the same state, including replicas that started from a snapshot.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from ibisspring_core.messages.codec import decode, encode
from ibisspring_core.messages.directory import Group
from ibisspring_core.messages.endpoints import EndpointRecord
from ibisspring_core.routes.model import RouteTable
from ibisspring_directory.commands import (
    COMMANDS,
    CloseWindow,
    EndpointJoins,
    EndpointLeaves,
    FoundJobs,
    PutTable,
    PutVersion,
    RetireStore,
    SetFleet,
    WindowReported,
)

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel

# Endpoints that left are remembered so that their delayed announcements are dropped. The limit
# keeps the state from growing in a system that replaces its endpoints continuously.
MAX_DEPARTED = 4096
# An endpoint that is permanently lost in a crash never announces its departure; the records of the
# endpoints that joined first are removed.
MAX_JOINED = 1024


@dataclass(frozen=True)
class Snapshot:
    """
    The complete state.

    :param document: the operator's document of the route table, byte for byte.
    :param version_by_model: newest weight version that trainers published.
    :param left: endpoint, incarnation and state of endpoints that are leaving or have left, oldest
        first.
    :param joined: first announcements of the endpoints that have not left, oldest first.
    :param job_group: founding members of the jobs' log; None before its bootstrap.
    :param retiring: peer addresses of the stores that are being retired.
    :param fleet_by_service: number of endpoints to keep of a service.
    :param closed_window: newest usage window whose counts are fixed; -1 for none.
    :param windows: closed usage windows that are not reported yet.
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


class DirectoryState:
    """The service `state`: changed only by committed commands, read by other services."""

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
        """Encode the complete state as a Snapshot."""
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
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the state by that of an encoded Snapshot."""
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

    def _put_table(self, command: PutTable) -> None:
        # A command with the current version is ignored too: another table under the same version
        # must neither be applied nor be read back.
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
        # Only the first command that closes a window counts: its counts may already have been
        # reported by a leader that was deposed before this command.
        if command.window <= self.closed_window:
            return
        self.closed_window = command.window
        self.window_by_number[command.window] = command

    def _window_reported(self, command: WindowReported) -> None:
        for number in [number for number in self.window_by_number if number <= command.window]:
            del self.window_by_number[number]


__all__ = ["DirectoryState", "Snapshot"]
