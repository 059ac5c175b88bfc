"""
The service `directory_status`: reports the state of the directory's leader to the tool of
operators.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ibisspring_core.clock import boot_now
from ibisspring_core.endpoint_table import GONE
from ibisspring_core.messages.status import (
    DaemonStatus,
    DirectoryStatus,
    DutyStatus,
    ReadDirectoryStatus,
)
from ibisspring_core.settings.vm import CONTROL, ENTRY, STORE

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.settings.vm import VmSettings

WEIGHT_LOADS = "loads of weights"
FLEET = "fleet"
USAGE_REPORTS = "usage reports"


class StatusService:
    """Answers `ReadDirectoryStatus` on the leader of the directory's log."""

    name = "directory_status"

    def __init__(self, settings: VmSettings) -> None:
        self._settings = settings

    @classmethod
    def from_config(cls, settings: VmSettings) -> StatusService:
        """
        Build the service `directory_status` of a control VM.

        :param settings: the VM's settings, already validated.
        """
        return cls(settings)

    async def start(self, kernel: Kernel) -> None:
        """Register the handler of `ReadDirectoryStatus`, and look up the services that it reads."""
        self._directory = kernel.find("directory")
        self._duties = kernel.find("duties")
        self._consensus = kernel.find("consensus")
        kernel.find("peer_server").register_handler(ReadDirectoryStatus, self.read)

    async def stop(self) -> None:
        """No-op: nothing runs in the background."""

    async def read(self, message: ReadDirectoryStatus) -> Any:
        """
        Return what the directory's leader knows: daemons, endpoints, versions and duties.

        :return: the status; NotLeader where this daemon is not the leader.
        """
        directory = self._directory
        if not directory.holds_lease():
            return directory.not_leader()
        now = boot_now()
        state = directory.state
        voters = self._consensus.core.members.voters
        received = directory.endpoints.table.records()
        return DirectoryStatus(
            leader=self._settings.daemon,
            term=self._consensus.term,
            voters=tuple(voter.daemon for voter in voters),
            table_version=state.table_version,
            daemons=self._daemons(now),
            endpoints=tuple(known.record for known in received if known.record.state != GONE),
            loading=tuple(sorted(directory.endpoints.loading)),
            version_by_model=dict(state.version_by_model),
            duties=self._duty_statuses(),
            closed_window=state.closed_window,
            evacuated=state.evacuated,
        )

    def _daemons(self, now: float) -> tuple[DaemonStatus, ...]:
        statuses = []
        for role in (CONTROL, ENTRY, STORE):
            for session in self._directory.sessions.active(now, role):
                renew = session.renew
                statuses.append(
                    DaemonStatus(
                        renew.daemon,
                        renew.role,
                        renew.data_centre,
                        renew.address,
                        renew.table_version,
                        round(now - session.received_at, 3),
                        renew.leads_jobs,
                    )
                )
        return tuple(sorted(statuses, key=lambda status: (status.role, status.daemon)))

    def _duty_statuses(self) -> tuple[DutyStatus, ...]:
        settings = self._settings
        names = [WEIGHT_LOADS]
        if settings.scales:
            names.append(FLEET)
        if settings.usage_window_s:
            names.append(USAGE_REPORTS)
        may_order = self._duties.may_order()
        sender = self._duties.sender()
        wait_left_s = self._duties.wait_left_s()
        holder = settings.daemon if may_order else ""
        return tuple(
            DutyStatus(name, holder, sender.fencing, round(wait_left_s, 3)) for name in names
        )


__all__ = ["FLEET", "USAGE_REPORTS", "WEIGHT_LOADS", "StatusService"]
