"""The service `reward_calls`: repeats a reward call until an endpoint returns the text's score."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import eliot

from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Refusal
from ibisspring_core.routes.index import common_regions
from ibisspring_core.routes.model import RepeatRule
from ibisspring_decisions.call_window import CallWindow

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.messages.jobs import RewardCall
    from ibisspring_core.routes.model import Route
    from ibisspring_gateway.attempts import SendResult

# Time limit of one send, including its hedged attempt at a second endpoint, as a multiple of the
# route's target time. An endpoint that dropped the call costs this much time; a healthy endpoint
# answers within the target.
TIME_LIMIT_TARGETS = 2.0
# Lower bound of the time limit of one send, which applies to routes with a short target time.
MIN_TIME_LIMIT_S = 0.5
# Pause before a reward call is sent again after all endpoints were full or did not answer. The
# pause doubles from the first value up to the second, so that a full service is not called
# continuously and a text is scored soon after the service has free capacity again.
FIRST_RETRY_PAUSE_S = 0.05
MAX_RETRY_PAUSE_S = 0.4


@dataclass(frozen=True)
class ScoringFailure:
    """
    The reason why a reward call returned no score.

    :param kind: `unscored` where endpoints failed the call as often as is allowed; `broken` where
        the item's deadline passed or the run was cancelled.
    :param failures: number of times that an endpoint ran the call and failed.
    """

    kind: str
    failures: int


class RewardCalls:
    """Limits the concurrent reward calls of each route; calls over the limit wait in a queue."""

    name = "reward_calls"

    def __init__(self) -> None:
        self._window_by_route: dict[str, CallWindow] = {}
        # Per waiting call: a future that is resolved when the call gets a slot of its route's call
        # window, and the time at which the call was queued. Cancelled futures stay in the queue
        # until they are first, and are then skipped.
        self._queue_by_route: dict[str, deque[tuple[asyncio.Future[None], float]]] = {}

    async def start(self, kernel: Kernel) -> None:
        """Look up the services that reward calls use, such as the forwarder that sends them."""
        self._view = kernel.find("directory_view")
        self._forwarder = kernel.find("forwarder")
        self._wire = kernel.find("endpoint_wire")
        self._counters = kernel.find("counters")

    async def stop(self) -> None:
        """No-op: each reward call runs in the task of its item's run, which the runner cancels."""

    async def score(
        self,
        call: RewardCall,
        max_attempts: int,
        deadline_at_s: float,
        regions: tuple[str, ...] | None = None,
    ) -> str | ScoringFailure:
        """
        Send a reward call to endpoints of its route until one of them returns the text's score.

        :param max_attempts: failures after which the item may be abandoned; the route's own
            `max_attempts` applies where it is larger.
        :param deadline_at_s: boot-clock time at which the item is abandoned; each request states
            the seconds that remain until then.
        :param regions: regions in which the call may run; None for all.
        :return: the score that the endpoint returned, or the reason why there is none.
        """
        failures = 0
        pause_s = FIRST_RETRY_PAUSE_S
        while boot_now() < deadline_at_s:
            route = self._route(call)
            if route is None:
                # The current configuration lacks the call's route; a later one may contain it
                # again.
                self._counters.add("reward_call.no_route")
                await asyncio.sleep(MAX_RETRY_PAUSE_S)
                continue
            sent = await self._send(call, route, deadline_at_s, regions)
            if not isinstance(sent.answer, Refusal) and sent.answer.status // 100 == 2:
                score = self._wire.read_score(sent.answer.headers)
                if score:
                    return score
            failures += sent.endpoint_failures
            if failures >= max(max_attempts, route.max_attempts):
                return ScoringFailure("unscored", failures)
            self._log_retry(call, sent, failures)
            if sent.endpoint_failures:
                continue
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_RETRY_PAUSE_S, 2 * pause_s)
        return ScoringFailure("broken", failures)

    def _route(self, call: RewardCall) -> Route | None:
        index = self._view.index
        return index.route(call.host, call.path) if index is not None else None

    def _log_retry(self, call: RewardCall, sent: SendResult, failures: int) -> None:
        answer = sent.answer
        reason = answer.reason.value if isinstance(answer, Refusal) else f"status {answer.status}"
        self._counters.add("reward_call.again")
        eliot.log_message(
            "reward_call:again",
            call=call.request,
            reason=reason,
            failures=failures,
            ran=sent.may_have_run,
        )

    async def _send(
        self,
        call: RewardCall,
        route: Route,
        deadline_at_s: float,
        regions: tuple[str, ...] | None,
    ) -> SendResult:
        window = await self._acquire_slot(route)
        rejected = False
        try:
            request = self._wire.reward_request(call, max(0.001, deadline_at_s - boot_now()))
            allowed = common_regions(route.regions or None, regions)
            request = replace(request, regions=allowed, accepted=True)
            time_limit_s = max(MIN_TIME_LIMIT_S, TIME_LIMIT_TARGETS * route.target_s)
            # The route's repeat rule is meant for callers' requests; a reward call may always be
            # repeated.
            repeatable_route = replace(route, repeat=RepeatRule.IDEMPOTENT)
            sent = await self._forwarder.send(request, repeatable_route, time_limit_s)
            rejected = isinstance(sent.answer, Refusal) and not sent.may_have_run
        finally:
            window.call_ended(boot_now(), rejected)
            self._grant_free_slots(route)
        return sent

    def _reported_capacity(self, route: Route) -> int:
        """Sum of the capacities that the route's endpoints report: requests processed at a time."""
        return sum(
            record.load.capacity
            for share in route.shares
            for record in self._view.serving(share.service)
        )

    async def _acquire_slot(self, route: Route) -> CallWindow:
        """Wait for a free slot in the route's call window; slots are given in order of arrival."""
        window = self._window_by_route.setdefault(route.name, CallWindow())
        queue = self._queue_by_route.setdefault(route.name, deque())
        if queue or not window.has_capacity():
            granted = asyncio.get_running_loop().create_future()
            queue.append((granted, boot_now()))
            try:
                await granted
            except asyncio.CancelledError:
                if not granted.cancelled():
                    # The slot was granted just before this call was cancelled: pass it on.
                    window.call_cancelled()
                    self._grant_free_slots(route)
                raise
        else:
            window.call_started(boot_now(), 0.0, self._reported_capacity(route))
        return window

    def _grant_free_slots(self, route: Route) -> None:
        window = self._window_by_route[route.name]
        queue = self._queue_by_route[route.name]
        while queue and window.has_capacity():
            granted, queued_at_s = queue.popleft()
            if granted.cancelled():
                continue
            window.call_started(
                boot_now(), boot_now() - queued_at_s, self._reported_capacity(route)
            )
            granted.set_result(None)


__all__ = ["RewardCalls", "ScoringFailure"]
