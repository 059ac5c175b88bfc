"""Finds the control leader and speaks to it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.settings import Settings


class ControlClient:
    """The connection to the control daemons."""

    name = "control_client"

    def __init__(self, address_by_daemon: dict[str, str]) -> None:
        self.address_by_daemon = address_by_daemon

    @classmethod
    def from_config(cls, settings: Settings) -> ControlClient:
        """
        Build the client; it connects when it is first used.

        :param settings: where the control daemons listen.
        :return: the client.
        """
        return cls(dict(settings.control_addresses))

    async def start(self, kernel: Kernel) -> None:
        """Nothing to start."""

    async def stop(self) -> None:
        """Nothing to stop."""


__all__ = ["ControlClient"]
