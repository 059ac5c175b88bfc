"""
Results of operators' recent commands by request id, so that a resent command is not applied again.

The table is bounded by the number and the age of results. A result may be removed only if a resend
of its request id can no longer be applied. A request id therefore contains its creation time, and a
request id that is not newer than the newest removed request id is refused.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ibisspring_core.errors import Reason
from ibisspring_core.messages.commands import Refused
from ibisspring_core.request_ids import creation_time_s

if TYPE_CHECKING:
    from ibisspring_control.state.moment import LogPosition

# Seconds after the creation of a request id until its result is removed and the id is refused. An
# operator who did not receive the answer resends the command within minutes.
RESEND_WINDOW_S = 600.0
# Maximum number of stored results: 38 times the 260 changes of a day. A larger burst of changes
# raises `floor_s` instead of using more memory.
MAX_RESULTS = 10_000
# Seconds by which the creation time of a request id may be later than the leader's clock.
# Synchronized clocks of VMs differ by far less.
MAX_CLOCK_SKEW_S = 60.0


@dataclass(frozen=True)
class RequestResult:
    """
    The result of the command that was applied under a request id.

    :param index: log index at which the command was applied.
    :param command_digest: xxh3 of the command; another command with the same id is a conflict.
    :param result: the result of the command, encoded by RESULTS.
    """

    request_id: str
    index: int
    command_digest: int
    result: bytes


@dataclass(frozen=True)
class RequestsSnapshot:
    """All stored results by log index; request ids created up to `floor_s` are refused."""

    floor_s: float = 0.0
    results: tuple[RequestResult, ...] = ()


class RequestResults:
    """Results of commands by request id, sorted by log index."""

    def __init__(self, snapshot: RequestsSnapshot) -> None:
        self.floor_s = snapshot.floor_s
        self.result_by_id = {result.request_id: result for result in snapshot.results}

    def snapshot(self) -> RequestsSnapshot:
        """Return all results, sorted by log index, so that all replicas agree."""
        return RequestsSnapshot(self.floor_s, tuple(self.result_by_id.values()))

    def check(self, request_id: str, position: LogPosition) -> Refused | None:
        """
        Check whether a command whose request id has no stored result may be applied.

        :return: None if the command may be applied, else a refusal: the request id is malformed, is
            from the future, or is so old that its result may have been removed.
        """
        created_s = creation_time_s(request_id)
        if created_s is None:
            return Refused(Reason.BAD_REQUEST.value, "the request id contains no creation time")
        if created_s > position.stamped_s + MAX_CLOCK_SKEW_S:
            detail = "the request id is from the future: check the clocks of this VM and the leader"
            return Refused(Reason.BAD_REQUEST.value, detail)
        if created_s <= max(self.floor_s, position.stamped_s - RESEND_WINDOW_S):
            detail = (
                "the request id is too old to know whether the command was applied:"
                " check, then use a new request id"
            )
            return Refused(Reason.MAY_HAVE_RUN.value, detail)
        return None

    def store(self, result: RequestResult, position: LogPosition) -> None:
        """Store the result of a command; remove results above MAX_RESULTS or RESEND_WINDOW_S."""
        self.result_by_id[result.request_id] = result
        while self.result_by_id:
            oldest = next(iter(self.result_by_id))
            created_s = creation_time_s(oldest) or 0.0
            too_many = len(self.result_by_id) > MAX_RESULTS
            if not too_many and created_s > position.stamped_s - RESEND_WINDOW_S:
                return
            # `stamped_s` may go back at a change of leader. If only the age of a request id were
            # checked, a resend of a removed id could then be applied again. `floor_s` never
            # decreases, so the removed id stays refused.
            self.floor_s = max(self.floor_s, created_s)
            del self.result_by_id[oldest]


__all__ = ["RequestResult", "RequestResults", "RequestsSnapshot"]
