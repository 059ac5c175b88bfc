"""
The service `send_gate`: the last check before a request is sent to an endpoint.

An endpoint is chosen by a view that may be outdated when the request is sent: an item's assignment
comes from the jobs' leader, a retry follows a failed attempt, and an entry may have been frozen in
between. A request may also be limited to some regions. Everything that sends a request to an
endpoint therefore asks this service immediately before the first byte.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisspring_core.clock import boot_now
from ibisspring_core.connections import CONNECT_TIMEOUT_S
from ibisspring_core.errors import Reason
from ibisspring_decisions.cold_shares import SHARE_LEASE_S
from ibisspring_decisions.paced_sends import PacedSends, requests_per_window

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.messages.endpoints import EndpointRecord
    from ibisspring_core.messages.jobs import Assignment
    from ibisspring_core.settings.vm import VmSettings

# Seconds of the setting `evacuate_s` that are reserved for the time from the check until the
# request has arrived, beyond the time limit of a new connection.
ARRIVAL_RESERVE_S = 0.5


class SendGate:
    """
    Decides by this entry's own view whether a request may be sent to an endpoint now.

    An evacuation is answered to its operator without waiting for entries that are out of touch with
    the directory. Such an entry stops sending items once its view is so old that an evacuation may
    have been answered `evacuate_s` seconds ago. Callers' requests are still forwarded, since the
    loss of control must not interrupt them.
    """

    name = "send_gate"

    def __init__(self, settings: VmSettings) -> None:
        self._settings = settings
        self._paced = PacedSends(float("-inf"))
        self._max_view_age_s = float("inf")
        if settings.evacuate_s > 0:
            self._max_view_age_s = settings.evacuate_s - CONNECT_TIMEOUT_S - ARRIVAL_RESERVE_S

    @classmethod
    def from_config(cls, settings: VmSettings) -> SendGate:
        """
        Build the gate of an entry.

        :param settings: validated settings of the entry; `evacuate_s` limits the age of its view.
        """
        return cls(settings)

    async def start(self, kernel: Kernel) -> None:
        """Look up the directory view."""
        self._view = kernel.find("directory_view")

    async def stop(self) -> None:
        """No-op: nothing runs in the background."""

    def may_run_items(self) -> bool:
        """Whether this entry's view is recent enough for items to be sent."""
        return self._view.age_s() <= self._max_view_age_s

    def is_in_regions(self, data_centre: str, regions: tuple[str, ...] | None) -> bool:
        """Whether a data centre lies in one of the given regions; None stands for all."""
        return self._settings.is_in_regions(data_centre, regions)

    def request_refusal(
        self, record: EndpointRecord, regions: tuple[str, ...] | None = None
    ) -> Reason | None:
        """
        Check a request of a caller or of the system itself, and count it if it may be sent.

        :param record: the endpoint that the request is about to be sent to.
        :param regions: regions in which the request may run; None for all.
        :return: why the request must not be sent; None if it may be sent.
        """
        refusal = self.refusal(record, regions)
        if refusal is None and self._paced_limit(record.service) is not None:
            self._paced.record(record.endpoint, boot_now())
        return refusal

    def refusal(self, record: EndpointRecord, regions: tuple[str, ...] | None) -> Reason | None:
        """
        Check a request without counting it, when its endpoint is chosen.

        :return: as `request_refusal`.
        """
        refusal = self._place_refusal(record.data_centre, regions)
        if refusal is not None or self._paced_limit(record.service) is None:
            return refusal
        if self._view.age_s() > self._max_view_age_s:
            # The endpoint may have turned cold, and other entries have the shares of it.
            return Reason.LEASE_LAPSED
        if not self._view.is_cold(record.endpoint):
            return None
        share = self._view.cold_share(record.endpoint, SHARE_LEASE_S)
        is_free = self._paced.free(record.endpoint, share, False, boot_now()) > 0
        return None if is_free else Reason.COLD

    def _paced_limit(self, service: str) -> int | None:
        index = self._view.index
        terms = index.service_by_name.get(service) if index is not None else None
        if terms is None:
            return None
        settings = self._settings
        return requests_per_window(
            terms.cold_requests_per_s, settings.cold_overshoot, settings.cold_slack
        )

    def _place_refusal(self, data_centre: str, regions: tuple[str, ...] | None) -> Reason | None:
        if not self.is_in_regions(data_centre, regions):
            return Reason.OUTSIDE_REGIONS
        return Reason.EVACUATED if data_centre in self._view.view.evacuated else None

    def item_refusal(self, assignment: Assignment, begin_by_s: float) -> Reason | None:
        """
        Check the run of an item.

        :param begin_by_s: boot-clock time after which a paced assignment must not begin, because
            the dispatcher no longer counts it.
        :return: why the run must not be sent; None if it may be sent.
        """
        if not self.may_run_items():
            return Reason.LEASE_LAPSED
        if assignment.paced and boot_now() > begin_by_s:
            return Reason.STALE
        return self._place_refusal(assignment.data_centre, assignment.regions)


__all__ = ["SendGate"]
