"""The service `current_settings`: what the settings file says now."""

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

# The file may change without a signal. A daemon that lost all of control finds it again within this
# time of the change.
READ_EVERY_S = 1.0
_IN_FORCE_AT_ONCE = frozenset({"seeds"})


class CurrentSettings:
    """
    Reads the settings file again, on SIGHUP and all the while.

    Seeds come into force at once. Read at the start alone, they name daemons that may all have been
    replaced since: one that was cut off meanwhile would never find control again.
    """

    name = "current_settings"

    def __init__(self, settings: VmSettings, read: ReadSettings) -> None:
        self._settings = settings
        self._read = read
        self._unreadable = False

    @property
    def seeds(self) -> tuple[str, ...]:
        """Peer addresses of control daemons as the file last named them."""
        return self._settings.seeds

    async def start(self, kernel: Kernel) -> None:
        """Begin to read."""
        self._subscription = kernel.find("timer").subscribe(self.name, READ_EVERY_S, self._tick)

    async def stop(self) -> None:
        """Read no more."""
        self._subscription.cancel()

    def reload(self) -> None:
        """Read the file now."""
        read = self._read()
        if not isinstance(read, VmSettings):
            self._keep(read)
            return
        self._unreadable = False
        if read == self._settings:
            return
        changed = _changed_fields(self._settings, read)
        self._settings = read
        waiting = [name for name in changed if name not in _IN_FORCE_AT_ONCE]
        eliot.log_message("settings:changed", seeds=list(read.seeds), at_next_start=waiting)

    def _keep(self, findings: tuple[Finding, ...]) -> None:
        """A file that is being written, or is wrong, changes nothing."""
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
