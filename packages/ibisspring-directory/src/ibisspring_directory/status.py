"""The service `directory_status`: tells operators what the directory's leader knows."""

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

LOADS = "loads of weights"
FLEET = "fleet"
USAGE = "usage reports"


class StatusService:
    """Answers on the leader."""

    name = "directory_status"

    def __init__(self, settings: VmSettings) -> None:
        self._settings = settings

    @classmethod
    def from_config(cls, settings: VmSettings) -> StatusService:
        """
        Build the service.

        :param settings: checked settings of a control VM.
        :return: the service.
        """
        return cls(settings)

    async def start(self, kernel: Kernel) -> None:
        """Register what is answered here."""
        self._directory = kernel.find("directory")
        self._duties = kernel.find("duties")
        self._consensus = kernel.find("consensus")
        kernel.find("peer_server").answer(ReadDirectoryStatus, self.read)

    async def stop(self) -> None:
        """Nothing to stop."""

    async def read(self, message: ReadDirectoryStatus) -> Any:
        """Tell how things are, on the leader."""
        directory = self._directory
        if not directory.leads():
            return directory.not_leader()
        now = boot_now()
        state = directory.state
        voters = self._consensus.core.members.voters
        heard = directory.endpoints.table.heard()
        return DirectoryStatus(
            leader=self._settings.daemon,
            term=self._consensus.term,
            voters=tuple(voter.daemon for voter in voters),
            table_version=state.table_version,
            daemons=self._daemons(now),
            endpoints=tuple(one.record for one in heard if one.record.state != GONE),
            loading=tuple(sorted(directory.endpoints.loading)),
            version_by_model=dict(state.version_by_model),
            duties=self._held(),
            closed_window=state.closed_window,
        )

    def _daemons(self, now: float) -> tuple[DaemonStatus, ...]:
        found = []
        for role in (CONTROL, ENTRY, STORE):
            for session in self._directory.sessions.in_touch(now, role):
                renew = session.renew
                found.append(
                    DaemonStatus(
                        renew.daemon,
                        renew.role,
                        renew.data_centre,
                        renew.address,
                        renew.table_version,
                        round(now - session.heard_at, 3),
                        renew.leads_jobs,
                    )
                )
        return tuple(sorted(found, key=lambda one: (one.role, one.daemon)))

    def _held(self) -> tuple[DutyStatus, ...]:
        settings = self._settings
        names = [LOADS]
        if settings.scales:
            names.append(FLEET)
        if settings.usage_window_s:
            names.append(USAGE)
        in_charge = self._duties.in_charge()
        duty = self._duties.duty()
        waits_s = self._duties.waits_s()
        holder = settings.daemon if in_charge else ""
        return tuple(DutyStatus(name, holder, duty.fencing, round(waits_s, 3)) for name in names)


__all__ = ["FLEET", "LOADS", "USAGE", "StatusService"]
