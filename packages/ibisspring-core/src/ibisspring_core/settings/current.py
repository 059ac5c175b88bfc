"""The service `current_settings`: re-reads the settings file while the daemon runs."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import fields
from typing import TYPE_CHECKING

import eliot

from ibisspring_core.settings.vm import VmSettings

if TYPE_CHECKING:
    from ibisspring_core.errors import Finding
    from ibisspring_core.kernel import Kernel

ReadSettings = Callable[[], "VmSettings | tuple[Finding, ...]"]

# Seconds between two reads of the settings file. The file may change without a signal; a daemon
# that cannot reach any control daemon reads changed seeds within this time.
READ_EVERY_S = 1.0
_APPLIED_IMMEDIATELY = frozenset({"seeds"})


class CurrentSettings:
    """
    Reads the settings file periodically and on SIGHUP.

    Changed seeds (addresses of control daemons) take effect immediately, other settings at the next
    start. If seeds were read only at the start, all daemons that they name might have been replaced
    since; a daemon that was disconnected during the replacement would never reach the control
    daemons again.
    """

    name = "current_settings"

    def __init__(self, settings: VmSettings, read: ReadSettings) -> None:
        self._settings = settings
        self._read = read
        self._unreadable = False

    @property
    def seeds(self) -> tuple[str, ...]:
        """Peer addresses of control daemons, from the last valid version of the file."""
        return self._settings.seeds

    async def start(self, kernel: Kernel) -> None:
        """Start to read the settings file every `READ_EVERY_S` seconds."""
        self._subscription = kernel.find("timer").subscribe(self.name, READ_EVERY_S, self._tick)

    async def stop(self) -> None:
        """Stop the periodic reads of the settings file."""
        self._subscription.cancel()

    def reload(self) -> None:
        """Read the file and apply its changes; an invalid file is logged and ignored."""
        read = self._read()
        if not isinstance(read, VmSettings):
            self._log_unreadable(read)
            return
        self._unreadable = False
        if read == self._settings:
            return
        changed = _changed_fields(self._settings, read)
        self._settings = read
        deferred = [name for name in changed if name not in _APPLIED_IMMEDIATELY]
        eliot.log_message("settings:changed", seeds=list(read.seeds), at_next_start=deferred)

    def _log_unreadable(self, findings: tuple[Finding, ...]) -> None:
        """Log once that the file is incomplete or invalid, and keep the current settings."""
        if not self._unreadable:
            texts = [str(finding) for finding in findings]
            eliot.log_message("settings:unreadable", reason="unreadable", findings=texts)
        self._unreadable = True

    async def _tick(self, now: float) -> None:
        self.reload()


def _changed_fields(before: VmSettings, after: VmSettings) -> list[str]:
    names = [field.name for field in fields(VmSettings)]
    return [name for name in names if getattr(before, name) != getattr(after, name)]


__all__ = ["CurrentSettings", "ReadSettings"]
