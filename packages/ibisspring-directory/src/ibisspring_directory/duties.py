"""The service `duties`: whether this daemon is in charge of orders to the outside, and how."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisspring_core.clock import boot_now
from ibisspring_core.guarded_http import HttpAnswer, HttpRequest, NoAnswer, send_guarded
from ibisspring_directory.outside import Duty

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.settings.vm import VmSettings

# Part of the leader's lease that must be left when bytes are written: the kernel gets this long to
# hand them over before the lease may pass to another leader.
LEAST_LEASE_S = 0.3
# Receivers must not see holders take turns inside the gap: one, another, and the first again. Two
# changes lie in such a turn, so each new leader waits half of it. An order of the leader before is
# over long before that: its bytes are reset at the end of its lease, which is over when another
# leader is elected. Measured with the whole gap, weights that trainers had named just before the
# loss of a leader came 4.4 s later, and a step began as much later.
WAIT_SHARE_OF_GAP = 0.5


class Duties:
    """Sends under the leader's lease, and only once an earlier holder surely sends no more."""

    name = "duties"

    def __init__(self, settings: VmSettings) -> None:
        self._settings = settings

    @classmethod
    def from_config(cls, settings: VmSettings) -> Duties:
        """
        Build the service.

        :param settings: checked settings of a control VM.
        :return: the service.
        """
        return cls(settings)

    async def start(self, kernel: Kernel) -> None:
        """Find who tells whether this daemon leads."""
        self._consensus = kernel.find("consensus")
        self._directory = kernel.find("directory")

    async def stop(self) -> None:
        """Nothing to stop."""

    def in_charge(self) -> bool:
        """
        Tell whether this daemon may order now.

        A new leader waits: receivers that check no fencing numbers would see the orders of two
        holders in turns where the last one of its predecessor still is on its way.
        """
        return self._directory.leads() and self.waits_s() <= 0.0

    def waits_s(self) -> float:
        """Seconds until a leader may order."""
        wait_s = WAIT_SHARE_OF_GAP * self._settings.holder_gap_s
        return max(0.0, self._directory.led_since + wait_s - boot_now())

    def duty(self) -> Duty:
        """Name and number of this holder."""
        return Duty(self._settings.daemon, self._consensus.term)

    async def send(self, request: HttpRequest, timeout_s: float) -> HttpAnswer | NoAnswer:
        """
        Send an order once, while the lease lasts.

        :return: the answer, or why there is none and whether a byte left.
        """
        term = self._consensus.term

        def lease_left_s() -> float:
            # Under a later term of its own an order would bear a number that is out of date.
            if not self.in_charge() or self._consensus.term != term:
                return 0.0
            return self._consensus.lease_left_s()

        return await send_guarded(request, lease_left_s, LEAST_LEASE_S, timeout_s)


__all__ = ["Duties"]
