"""
The service `duties`: decides whether this daemon may send orders to external systems, and sends
them.

An order is a request that changes something there: it orders endpoints from the platform, orders an
engine to load a weight version, or reports usage. Only the leader of the directory's log may send
orders; it is then their holder. Its fencing number, the term, is higher than those of all earlier
holders.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisspring_core.clock import boot_now
from ibisspring_core.guarded_http import HttpAnswer, HttpRequest, NoAnswer, send_guarded
from ibisspring_directory.outside import OrderSender

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.settings.vm import VmSettings

# Minimum seconds that the leader's lease must still last when bytes of an order are written. The
# operating system has this long to transmit them before another leader may hold the lease.
MIN_LEASE_LEFT_S = 0.3
# Share of the setting `holder_gap_s` (the gap) that a new leader waits before its first order.
# Receivers must not see orders of two holders alternate within the gap: one holder, another, and
# the first again. Such a sequence takes two changes of holder, so each new leader waits half of the
# gap. The previous leader's order has ended long before that: its connection is reset at the end of
# its lease, which has passed when another leader is elected. With a wait of the full gap, weight
# versions that trainers had published just before the loss of a leader were loaded 4.4 s later, and
# a trainer's step started as much later.
WAIT_SHARE_OF_GAP = 0.5


class Duties:
    """
    Sends orders under the leader's lease, and only once no earlier holder can still send orders.
    """

    name = "duties"

    def __init__(self, settings: VmSettings) -> None:
        self._settings = settings

    @classmethod
    def from_config(cls, settings: VmSettings) -> Duties:
        """
        Build the service `duties` of a control VM.

        :param settings: the VM's settings, already validated; they state the gap between holders.
        """
        return cls(settings)

    async def start(self, kernel: Kernel) -> None:
        """Look up the services that know the leader's lease and the start of its term."""
        self._consensus = kernel.find("consensus")
        self._directory = kernel.find("directory")

    async def stop(self) -> None:
        """No-op: nothing runs in the background."""

    def may_order(self) -> bool:
        """
        Whether this daemon may send orders now.

        A new leader first waits for WAIT_SHARE_OF_GAP of the gap. Without this, receivers that do
        not check fencing numbers would see orders of two holders alternate, if the last order of
        the previous leader is still in transit.
        """
        return self._directory.holds_lease() and self.wait_left_s() <= 0.0

    def wait_left_s(self) -> float:
        """
        Remaining wait of a new leader before its first order, in seconds; 0 after this wait.
        """
        wait_s = WAIT_SHARE_OF_GAP * self._settings.holder_gap_s
        return max(0.0, self._directory.led_since + wait_s - boot_now())

    def sender(self) -> OrderSender:
        """Name and fencing number by which this daemon's orders identify their sender."""
        return OrderSender(self._settings.daemon, self._consensus.term)

    async def send(self, request: HttpRequest, timeout_s: float) -> HttpAnswer | NoAnswer:
        """
        Send an order once, if this daemon may send orders; end the wait when its lease ends.

        :param timeout_s: longest wait for the answer, in seconds.
        :return: the answer; if there is none, the reason and whether any byte was sent.
        """
        term = self._consensus.term

        def lease_left_s() -> float:
            # The order contains the fencing number of the term in which `send` was called. If this
            # daemon has been elected again since, that number is outdated.
            if not self.may_order() or self._consensus.term != term:
                return 0.0
            return self._consensus.lease_left_s()

        return await send_guarded(request, lease_left_s, MIN_LEASE_LEFT_S, timeout_s)


__all__ = ["Duties"]
