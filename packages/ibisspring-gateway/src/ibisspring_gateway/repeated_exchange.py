"""One forwarded request that may be repeated: attempts until it is answered or its time is over."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any, Protocol

import eliot

from ibisspring_core.clock import boot_now
from ibisspring_core.connections import CONNECT_TIMEOUT_S
from ibisspring_core.errors import Reason, Refusal
from ibisspring_decisions.attempt_plan import MAX_PAUSE_S, AttemptPlan
from ibisspring_gateway.attempts import ConnectTerms, EndpointResponse, FailedAttempt
from ibisspring_gateway.exchange import ENDPOINT_FAILURE_STATUS, AttemptSender, final_refusal

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from ibisspring_core.messages.endpoints import EndpointRecord
    from ibisspring_core.routes.model import Route
    from ibisspring_decisions.hedging import HedgeDelays, SuspectEndpoints
    from ibisspring_gateway.wire import CallerRequest

# Reasons for having no endpoint that may end within the time of a request. The other ones last, or
# concern this entry alone, so that the caller is better served by another entry at once.
PASSING_REASONS = (Reason.NO_ENDPOINT, Reason.COLD)


class RepeatingSender(AttemptSender, Protocol):
    """What an exchange with repeated attempts needs beyond `AttemptSender`."""

    delays: HedgeDelays
    suspects: SuspectEndpoints

    def choose_among(
        self,
        service: str,
        is_allowed: Callable[[str], bool],
        at_most_once: bool,
        regions: tuple[str, ...] | None,
    ) -> EndpointRecord | None: ...

    def attempt(
        self,
        request: CallerRequest,
        record: EndpointRecord,
        deadline_at_s: float,
        endpoint_deadline_at_s: float,
        connect: ConnectTerms | None = None,
    ) -> Coroutine[Any, Any, EndpointResponse | FailedAttempt]: ...

    def count_empty_budget(self) -> None: ...


class RepeatedExchange:
    """
    One request with all its attempts; `AttemptPlan` decides on each of them.

    :param may_have_run: at least one endpoint may have run the request.
    :param tried_endpoints: ids of the endpoints of the attempts so far, in order.
    """

    def __init__(
        self, sender: RepeatingSender, request: CallerRequest, route: Route, deadline_at_s: float
    ) -> None:
        now = boot_now()
        self._sender = sender
        self._request = request
        self._route = route
        self._deadline_at_s = deadline_at_s
        self._target_s = route.target_s or route.timeout_s
        self._delay_s = min(
            sender.delays.delay_s(share.service, self._target_s, now) for share in route.shares
        )
        self._plan = AttemptPlan(
            route.max_attempts, self._delay_s, now, deadline_at_s, route.timeout_s
        )
        self._endpoint_by_task: dict[asyncio.Task[EndpointResponse | FailedAttempt], str] = {}
        self._last_reason = Reason.NO_ENDPOINT
        self._error_answer: EndpointResponse | None = None
        self.may_have_run = False
        self.tried_endpoints: list[str] = []

    async def run(self) -> EndpointResponse | Refusal:
        """Start attempts until an endpoint answers or no further attempt is allowed."""
        self._sender.delays.count_request(boot_now())
        try:
            answer = await self._run_attempts()
        except asyncio.CancelledError:
            # The caller disconnected, so no response to its request is needed.
            self._cancel_attempts()
            raise
        if isinstance(answer, Refusal) and boot_now() < self._deadline_at_s:
            # The caller repeats the request; endpoints must not work on it twice.
            self._cancel_attempts()
            return answer
        self._sender.finish_in_background(set(self._endpoint_by_task))
        return answer

    def _cancel_attempts(self) -> None:
        for task in self._endpoint_by_task:
            task.cancel()

    async def _run_attempts(self) -> EndpointResponse | Refusal:
        plan = self._plan
        while True:
            now = boot_now()
            if plan.is_waiting and (now >= self._deadline_at_s or self._hands_back_silence(now)):
                self._last_reason = Reason.TIMEOUT
                self.may_have_run = True
                return self._final_answer()
            if now >= plan.next_at and plan.may_start(now) and not self._start_due_attempt(now):
                return self._final_answer()
            if not plan.is_waiting and not plan.may_start(now):
                return self._final_answer()
            answer = await self._wait()
            if answer is not None:
                return answer

    async def _wait(self) -> EndpointResponse | None:
        """Wait for an answer until the next attempt is due; return the one that is final."""
        now = boot_now()
        wake_at = self._deadline_at_s
        if self._plan.may_start(now):
            wake_at = min(wake_at, self._plan.next_at)
        if now < self._plan.hand_back_at:
            wake_at = min(wake_at, self._plan.hand_back_at)
        wait_s = max(0.0, wake_at - now)
        if not self._endpoint_by_task:
            await asyncio.sleep(wait_s)
            return None
        done, _ = await asyncio.wait(
            self._endpoint_by_task, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED
        )
        final = None
        for task in done:
            endpoint = self._endpoint_by_task.pop(task)
            final = self._evaluate(endpoint, task.result()) or final
        return final

    def _evaluate(
        self, endpoint: str, answer: EndpointResponse | FailedAttempt
    ) -> EndpointResponse | None:
        """Return the response if it ends the exchange; None where another attempt may follow."""
        if isinstance(answer, FailedAttempt):
            self.may_have_run = self.may_have_run or answer.may_have_run
            self._last_reason = answer.reason
            self._plan.failed(endpoint, answer.sent, boot_now())
            return None
        if answer.status < ENDPOINT_FAILURE_STATUS:
            return answer
        # This error response is returned to the caller if no endpoint answers without an error.
        self._error_answer = answer
        self.may_have_run = True
        self._plan.failed(endpoint, True, boot_now())
        return None

    def _start_due_attempt(self, now: float) -> bool:
        """Start the attempt that is due; return False where waiting for it is of no use."""
        plan = self._plan
        if not self._sender.may_send(self._request):
            return False
        silent = plan.silent
        for endpoint in silent:
            self._sender.suspects.mark(endpoint, now)
        if silent and not self._sender.may_hedge(self._request):
            plan.look_again(now)
            return True
        record = self._choose_new()
        is_first_choice = record is not None and not silent
        if record is None:
            if self.tried_endpoints and now < plan.repeat_at:
                plan.look_again(now, plan.repeat_at)
                return True
            record = self._choose_tried()
        if record is None:
            plan.look_again(now)
            return self._may_find_endpoint()
        if not is_first_choice and not self._sender.delays.take(now):
            self._sender.count_empty_budget()
            plan.look_again(now, now + MAX_PAUSE_S)
            return True
        self._start_attempt(record, silent, now)
        return True

    def _start_attempt(self, record: EndpointRecord, silent: tuple[str, ...], now: float) -> None:
        # Connections of the pool may be silent too, or broken for the same reason as the last one.
        is_new = bool(silent) or self._last_reason is Reason.ENDPOINT_FAILED
        connect = ConnectTerms(min(CONNECT_TIMEOUT_S, self._target_s), is_new)
        attempt = self._sender.attempt(
            self._request, record, self._deadline_at_s, self._deadline_at_s, connect
        )
        self._endpoint_by_task[asyncio.create_task(attempt)] = record.endpoint
        self._plan.started(record.endpoint, now)
        self.tried_endpoints.append(record.endpoint)
        if len(self.tried_endpoints) == 1:
            return
        if silent:
            self._sender.count_hedge()
        eliot.log_message(
            "forward:hedged" if silent else "forward:again",
            request=self._request.request_id,
            endpoint=record.endpoint,
            tries=list(self.tried_endpoints),
            silent=list(silent),
            reason=self._last_reason.value,
            delay_s=round(self._delay_s, 4),
            left_s=round(self._deadline_at_s - now, 3),
        )

    def _choose_new(self) -> EndpointRecord | None:
        for service in self._services():
            record = self._sender.choose_among(
                service, self._plan.is_new, False, self._request.regions
            )
            if record is not None:
                return record
        return None

    def _choose_tried(self) -> EndpointRecord | None:
        for endpoint in self._plan.repeat_order():
            for service in self._services():
                record = self._sender.choose_among(
                    service, lambda one, best=endpoint: one == best, False, self._request.regions
                )
                if record is not None:
                    return record
        return None

    def _services(self) -> list[str]:
        """Return the services of the route in random order, by their weights."""
        shares = [share for share in self._route.shares if share.weight > 0]
        shares.sort(key=lambda share: random.random() ** (1 / share.weight), reverse=True)
        return [share.service for share in shares]

    def _hands_back_silence(self, now: float) -> bool:
        if now < self._plan.hand_back_at:
            return False
        tried = set(self.tried_endpoints)
        services = self._services()
        has_unreached = any(
            self._sender.choose_among(one, lambda e: e not in tried, False, self._request.regions)
            for one in services
        )
        longest_s = max(self._sender.delays.longest_s(one, now) for one in services)
        return self._plan.hands_back_silence(has_unreached, longest_s, now)

    def _may_find_endpoint(self) -> bool:
        """Whether an endpoint may appear in time; there is none at the moment."""
        if self.tried_endpoints:
            return True
        regions = self._request.regions
        reasons = [self._sender.reason_without_endpoint(one, regions) for one in self._services()]
        self._last_reason = next(
            (reason for reason in reasons if reason in PASSING_REASONS), reasons[0]
        )
        return self._last_reason in PASSING_REASONS

    def _final_answer(self) -> EndpointResponse | Refusal:
        if self._error_answer is not None:
            return self._error_answer
        return final_refusal(self._last_reason, self.may_have_run)


__all__ = ["RepeatedExchange"]
