"""
The service `duties`: decides whether this daemon may send orders to external systems, and sends
them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisspring_core.clock import boot_now
from ibisspring_core.guarded_http import HttpAnswer, HttpRequest, NoAnswer, send_guarded
from ibisspring_directory.outside import OrderSender

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.settings.vm import VmSettings

# Least remaining time of the leader's lease when bytes are written: the kernel has this long to
# transmit them before another leader may hold the lease.
MIN_LEASE_LEFT_S = 0.3
# Receivers must not see orders of two holders alternate within the gap: one holder, another, and
# the first again. Such a sequence takes two changes of holder, so each new leader waits half of the
# gap. The previous leader's order has ended long before that: its connection is reset at the end of
# its lease, which has passed when another leader is elected. With a wait of the full gap, weight
# versions that trainers had published just before the loss of a leader were loaded 4.4 s later, and
# a step started as much later.
WAIT_SHARE_OF_GAP = 0.5


class Duties:
    """
    Sends orders under the leader's lease, and only after no earlier holder can still send any.
    """

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
        """Look up the services that hold the leader's lease and the start of its term."""
        self._consensus = kernel.find("consensus")
        self._directory = kernel.find("directory")

    async def stop(self) -> None:
        """No-op: nothing runs in the background."""

    def may_order(self) -> bool:
        """
        Whether this daemon may send orders now.

        A new leader waits first: receivers that check no fencing numbers would otherwise see orders
        of two holders alternate where the last order of the previous leader is still in transit.
        """
        return self._directory.holds_lease() and self.wait_left_s() <= 0.0

    def wait_left_s(self) -> float:
        """
        Remaining wait of a new leader before its first order, in seconds; 0 once it has passed.
        """
        wait_s = WAIT_SHARE_OF_GAP * self._settings.holder_gap_s
        return max(0.0, self._directory.led_since + wait_s - boot_now())

    def sender(self) -> OrderSender:
        """Name and fencing number that this daemon's orders carry."""
        return OrderSender(self._settings.daemon, self._consensus.term)

    async def send(self, request: HttpRequest, timeout_s: float) -> HttpAnswer | NoAnswer:
        """
        Send an order once, while the lease lasts.

        :param timeout_s: longest wait for the answer, in seconds.
        :return: the answer, or why there is none and whether any byte was sent.
        """
        term = self._consensus.term

        def lease_left_s() -> float:
            # In a later term of this daemon the order would carry an outdated fencing number.
            if not self.may_order() or self._consensus.term != term:
                return 0.0
            return self._consensus.lease_left_s()

        return await send_guarded(request, lease_left_s, MIN_LEASE_LEFT_S, timeout_s)


__all__ = ["Duties"]
