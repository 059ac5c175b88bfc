"""
The directory's state machine.

Deterministic: it reads no clock and no random number, so that replicas which apply the same log
hold the same state, also when some of them started from a snapshot.
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

# Endpoints that left are kept to know their late announcements; a system that replaces them all
# the day long must not grow by them.
MAX_LEFT = 4096
# Endpoints that crash for good never leave; the oldest are forgotten.
MAX_JOINED = 1024


@dataclass(frozen=True)
class Snapshot:
    """
    The whole state.

    :param left: endpoint, incarnation and state of those that leave or left, oldest first.
    :param joined: first announcements of the endpoints that did not leave, oldest first.
    :param fleet_by_service: endpoints that are kept of a service.
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
    """The service `state`; only consensus applies to it, others read."""

    name = "state"

    def __init__(self) -> None:
        self._load(Snapshot())
        self._on_change: list[Callable[[], None]] = []
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
        """Nothing to start."""

    async def stop(self) -> None:
        """Nothing to stop."""

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call back after each change."""
        self._on_change.append(callback)

    @property
    def table_version(self) -> int:
        """Version of the table in force; -1 before the first."""
        return self.table.version if self.table is not None else -1

    def apply(self, index: int, data: bytes) -> bytes:
        """
        Apply one committed command.

        :param index: its log index.
        :param data: a command, encoded by COMMANDS.
        :return: nothing; what a command did is read from the state.
        """
        command = COMMANDS.decode(data)
        self._apply_by_type[type(command)](command)
        self._changed()
        return b""

    def snapshot(self) -> bytes:
        """Encode the whole state."""
        left = tuple((name, born, state) for (name, born), state in self.left.items())
        return encode(
            Snapshot(
                self.table,
                self.document,
                self.version_by_model,
                left,
                tuple(self.joined_by_id.values()),
                self.job_group,
                self.retiring,
                self.fleet_by_service,
                self.closed_window,
                tuple(self.window_by_number.values()),
            )
        )

    def restore(self, data: bytes) -> None:
        """Take the state over from a snapshot."""
        self._load(decode(data, Snapshot))
        self._changed()

    def _changed(self) -> None:
        for callback in self._on_change:
            callback()

    def _load(self, snapshot: Snapshot) -> None:
        self.table = snapshot.table
        self.document = snapshot.document
        self.version_by_model = dict(snapshot.version_by_model)
        self.left = {(name, born): state for name, born, state in snapshot.left}
        self.joined_by_id = {record.endpoint: record for record in snapshot.joined}
        self.job_group = snapshot.job_group
        self.retiring = snapshot.retiring
        self.fleet_by_service = dict(snapshot.fleet_by_service)
        self.closed_window = snapshot.closed_window
        self.window_by_number = {window.window: window for window in snapshot.windows}

    def _put_table(self, command: PutTable) -> None:
        # Equal versions change nothing either: other content under the version that is held must
        # neither come into force nor be read back.
        if command.table.version <= self.table_version:
            return
        self.table = command.table
        self.document = command.document

    def _put_version(self, command: PutVersion) -> None:
        known = self.version_by_model.get(command.model, 0)
        self.version_by_model[command.model] = max(known, command.version)

    def _endpoint_joins(self, command: EndpointJoins) -> None:
        record = command.record
        if (record.endpoint, record.incarnation) in self.left:
            return
        known = self.joined_by_id.pop(record.endpoint, record)
        newest = max(known, record, key=lambda one: one.incarnation)
        self.joined_by_id[record.endpoint] = newest
        while len(self.joined_by_id) > MAX_JOINED:
            del self.joined_by_id[next(iter(self.joined_by_id))]

    def _endpoint_leaves(self, command: EndpointLeaves) -> None:
        key = (command.endpoint, command.incarnation)
        joined = self.joined_by_id.get(command.endpoint)
        if joined is not None and joined.incarnation <= command.incarnation:
            del self.joined_by_id[command.endpoint]
        if self.left.get(key) == "gone":
            return
        self.left[key] = command.state
        while len(self.left) > MAX_LEFT:
            del self.left[next(iter(self.left))]

    def _found_jobs(self, command: FoundJobs) -> None:
        if self.job_group is None:
            self.job_group = command.group

    def _retire(self, command: RetireStore) -> None:
        if command.address not in self.retiring:
            self.retiring = (*self.retiring, command.address)

    def _set_fleet(self, command: SetFleet) -> None:
        self.fleet_by_service.setdefault(command.service, command.count)

    def _close_window(self, command: CloseWindow) -> None:
        # The first close of a window fixes it: a leader that was deposed in between may have
        # reported it with those figures.
        if command.window <= self.closed_window:
            return
        self.closed_window = command.window
        self.window_by_number[command.window] = command

    def _window_reported(self, command: WindowReported) -> None:
        for number in [number for number in self.window_by_number if number <= command.window]:
            del self.window_by_number[number]


__all__ = ["DirectoryState", "Snapshot"]
