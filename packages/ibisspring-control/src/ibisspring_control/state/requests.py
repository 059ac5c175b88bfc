"""
Results of recent request ids, for commands without an idempotency key of their own.

Bounded by count and by age. Forgetting a result is only safe when a resend of its id can no longer
be applied: an id carries the time of its making, and one that is older than what was forgotten is
refused.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ibisspring_core.errors import Reason
from ibisspring_core.messages.commands import Refused
from ibisspring_core.request_ids import created_s_of

if TYPE_CHECKING:
    from ibisspring_control.state.moment import Moment

# An operator who lost the answer looks and sends again within minutes.
RESEND_WINDOW_S = 600.0
# 260 changes a day fit 38 times over; a burst beyond it raises the floor instead of the memory.
MAX_RESULTS = 10_000
# Clocks of VMs that keep time differ by far less.
MAX_AHEAD_S = 60.0


@dataclass(frozen=True)
class RequestResult:
    """
    The first result of a request id.

    :param index: log index of the entry that was applied.
    :param command_digest: xxh3 of the command; another command under the same id is a conflict.
    :param result: encoded by RESULTS.
    """

    request_id: str
    index: int
    command_digest: int
    result: bytes


@dataclass(frozen=True)
class RequestsSnapshot:
    """All results in order of their index."""

    floor_s: float = 0.0
    results: tuple[RequestResult, ...] = ()


class RequestResults:
    """Results by request id, oldest index first."""

    def __init__(self, snapshot: RequestsSnapshot) -> None:
        self.floor_s = snapshot.floor_s
        self.result_by_id = {result.request_id: result for result in snapshot.results}

    def snapshot(self) -> RequestsSnapshot:
        """Everything, in an order that all replicas share."""
        return RequestsSnapshot(self.floor_s, tuple(self.result_by_id.values()))

    def check(self, request_id: str, moment: Moment) -> Refused | None:
        """
        Tell whether an id without a result may still be applied.

        :return: why not, or None where it may.
        """
        created_s = created_s_of(request_id)
        if created_s is None:
            return Refused(Reason.BAD_REQUEST.value, "the request id carries no time")
        if created_s > moment.stamped_s + MAX_AHEAD_S:
            detail = "the request id is from the future: set the clocks of this VM and the leader's"
            return Refused(Reason.BAD_REQUEST.value, detail)
        if created_s <= max(self.floor_s, moment.stamped_s - RESEND_WINDOW_S):
            detail = (
                "the request id is too old to tell whether it was applied: look, then use a new one"
            )
            return Refused(Reason.MAY_HAVE_RUN.value, detail)
        return None

    def keep(self, result: RequestResult, moment: Moment) -> None:
        """Keep a first result and forget what is past the bounds."""
        self.result_by_id[result.request_id] = result
        while self.result_by_id:
            oldest = next(iter(self.result_by_id))
            created_s = created_s_of(oldest) or 0.0
            too_many = len(self.result_by_id) > MAX_RESULTS
            if not too_many and created_s > moment.stamped_s - RESEND_WINDOW_S:
                return
            # The leader's clock may run back at a change of leader, so the age alone does not stop
            # a resend of a forgotten id; the floor only rises and does.
            self.floor_s = max(self.floor_s, created_s)
            del self.result_by_id[oldest]


__all__ = ["RequestResult", "RequestResults", "RequestsSnapshot"]
