"""The service `reward_calls`: asks for the score of a whole text until it has one."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import eliot

from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Refusal
from ibisspring_core.routes.model import RepeatRule
from ibisspring_decisions.call_window import CallWindow

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.messages.jobs import RewardCall
    from ibisspring_core.routes.model import Route
    from ibisspring_gateway.forward import Sent

# One sending with its second endpoint is given up after this many times the route's target. An
# endpoint that dropped the call costs that much; a sound one answers within the target.
PATIENCE_TARGETS = 2.0
LEAST_PATIENCE_S = 0.5
# All endpoints were full or lost: the pause doubles from the first to the last of these, so that
# a full service is not asked over and over and a text does not wait long once it has room.
FIRST_PAUSE_S = 0.05
MOST_PAUSE_S = 0.4


@dataclass(frozen=True)
class Unscored:
    """
    No score was found.

    :param kind: `unscored`, where endpoints failed the call as often as they may; `broken`, where
        its time was up.
    :param failures: how often endpoints failed it.
    """

    kind: str
    failures: int


class RewardCalls:
    """One window for each route bounds the calls that are under way."""

    name = "reward_calls"

    def __init__(self) -> None:
        self._window_by_route: dict[str, CallWindow] = {}
        # Turns, each with when it began to wait; those that were cancelled are passed over.
        self._waiting_by_route: dict[str, deque[tuple[asyncio.Future[None], float]]] = {}

    async def start(self, kernel: Kernel) -> None:
        """Find the parts it works with."""
        self._view = kernel.find("directory_view")
        self._forwarder = kernel.find("forwarder")
        self._wire = kernel.find("endpoint_wire")
        self._counters = kernel.find("counters")

    async def stop(self) -> None:
        """Nothing to stop: calls end with the runs that they belong to."""

    async def score(self, call: RewardCall, max_attempts: int, end_s: float) -> str | Unscored:
        """
        Ask endpoints of the call's route for the score until one gives it.

        :param max_attempts: failures after which the item may be given up; the route's own figure
            goes before it where that is larger.
        :param end_s: when the item is given up; endpoints are told this end at each sending.
        :return: the score.
        """
        failures = 0
        pause_s = FIRST_PAUSE_S
        while boot_now() < end_s:
            route = self._route(call)
            if route is None:
                # The route may come back with the next configuration.
                self._counters.add("reward_call.no_route")
                await asyncio.sleep(MOST_PAUSE_S)
                continue
            sent = await self._send(call, route, end_s)
            if not isinstance(sent.answer, Refusal) and sent.answer.status // 100 == 2:
                score = self._wire.score(sent.answer.headers)
                if score:
                    return score
            failures += sent.errors
            if failures >= max(max_attempts, route.max_attempts):
                return Unscored("unscored", failures)
            self._log_again(call, sent, failures)
            if sent.errors:
                continue
            await asyncio.sleep(pause_s)
            pause_s = min(MOST_PAUSE_S, 2 * pause_s)
        return Unscored("broken", failures)

    def _route(self, call: RewardCall) -> Route | None:
        index = self._view.index
        return index.route(call.host, call.path) if index is not None else None

    def _log_again(self, call: RewardCall, sent: Sent, failures: int) -> None:
        answer = sent.answer
        reason = answer.reason.value if isinstance(answer, Refusal) else f"status {answer.status}"
        self._counters.add("reward_call.again")
        eliot.log_message(
            "reward_call:again", call=call.request, reason=reason, failures=failures, ran=sent.ran
        )

    async def _send(self, call: RewardCall, route: Route, end_s: float) -> Sent:
        window = await self._enter(route)
        full = False
        try:
            request = self._wire.reward_request(call, max(0.001, end_s - boot_now()))
            patience_s = max(LEAST_PATIENCE_S, PATIENCE_TARGETS * route.target_s)
            # It may be repeated whatever the route says of callers' requests.
            repeatable = replace(route, repeat=RepeatRule.IDEMPOTENT)
            sent = await self._forwarder.send(request, repeatable, patience_s)
            full = isinstance(sent.answer, Refusal) and not sent.ran
        finally:
            window.ended(boot_now(), full)
            self._leave(route)
        return sent

    def _places(self, route: Route) -> int:
        """Requests that the endpoints of a route work on at a time, by their own word."""
        return sum(
            record.load.capacity
            for share in route.shares
            for record in self._view.serving(share.service)
        )

    async def _enter(self, route: Route) -> CallWindow:
        """Wait until the window has room, in the order in which texts became whole."""
        window = self._window_by_route.setdefault(route.name, CallWindow())
        waiting = self._waiting_by_route.setdefault(route.name, deque())
        if waiting or not window.has_room():
            turn = asyncio.get_running_loop().create_future()
            waiting.append((turn, boot_now()))
            try:
                await turn
            except asyncio.CancelledError:
                if not turn.cancelled():
                    # Its turn had come already: the room goes to the next one.
                    window.left()
                    self._leave(route)
                raise
        else:
            window.began(boot_now(), 0.0, self._places(route))
        return window

    def _leave(self, route: Route) -> None:
        window = self._window_by_route[route.name]
        waiting = self._waiting_by_route[route.name]
        while waiting and window.has_room():
            turn, since_s = waiting.popleft()
            if turn.cancelled():
                continue
            window.began(boot_now(), boot_now() - since_s, self._places(route))
            turn.set_result(None)


__all__ = ["RewardCalls", "Unscored"]
