"""One forwarded request with its attempts: retries, a hedged attempt, and the final answer."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any, Protocol

from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.routes.model import RepeatRule
from ibisspring_gateway.attempts import EndpointResponse, FailedAttempt

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from ibisspring_core.messages.endpoints import EndpointRecord
    from ibisspring_core.routes.model import Route
    from ibisspring_gateway.wire import CallerRequest

# An idempotent request that has no response after this share of the route's target time is also
# sent to a second endpoint. Almost all responses take less time, and the second endpoint can still
# respond within the target.
HEDGE_DELAY_IN_TARGETS = 0.5
# Seconds that must remain until a request's deadline for an attempt to be started; in less time, an
# endpoint could not complete it.
MIN_ATTEMPT_S = 0.02
# Seconds after which a caller may repeat a request that no endpoint ran (`Refusal.retry_after_s`).
RETRY_AFTER_S = 0.25
# The same where all endpoints are in evacuated data centres or outside the allowed regions: this
# lasts for seconds or longer, so an earlier repetition would be refused as well.
LASTING_RETRY_AFTER_S = 1.0
# Reasons for which an endpoint gets no request, the shortest first. A caller is told the reason
# that ends first.
REASONS_BY_DURATION = (
    Reason.COLD,
    Reason.LEASE_LAPSED,
    Reason.EVACUATED,
    Reason.OUTSIDE_REGIONS,
)
# HTTP status with which an endpoint says that it ran the request and failed. Responses with other
# error statuses are not counted as failures of the endpoint, since their cause may lie elsewhere.
ENDPOINT_FAILURE_STATUS = 500


class AttemptSender(Protocol):
    """What an exchange needs of the forwarder; `Forwarder` documents the methods."""

    def may_send(self, request: CallerRequest) -> bool: ...

    def may_hedge(self, request: CallerRequest) -> bool: ...

    def choose_endpoint(
        self,
        service: str,
        tried_endpoints: list[str],
        at_most_once: bool,
        regions: tuple[str, ...] | None,
    ) -> EndpointRecord | None: ...

    def reason_without_endpoint(self, service: str, regions: tuple[str, ...] | None) -> Reason: ...

    def attempt(
        self,
        request: CallerRequest,
        record: EndpointRecord,
        deadline_at_s: float,
        endpoint_deadline_at_s: float,
    ) -> Coroutine[Any, Any, EndpointResponse | FailedAttempt]: ...

    def finish_in_background(
        self, attempts: set[asyncio.Task[EndpointResponse | FailedAttempt]]
    ) -> None: ...

    def count_hedge(self) -> None: ...


class Exchange:
    """
    One request with all its attempts.

    :param may_have_run: at least one endpoint may have run the request.
    :param endpoint_failures: number of endpoints that ran the request and failed.
    :param tried_endpoints: ids of the endpoints of the attempts so far.
    """

    def __init__(
        self,
        sender: AttemptSender,
        request: CallerRequest,
        route: Route,
        deadline_at_s: float,
        endpoint_deadline_at_s: float,
    ) -> None:
        self._sender = sender
        self._request = request
        self._route = route
        self._deadline_at_s = deadline_at_s
        self._endpoint_deadline_at_s = endpoint_deadline_at_s
        self.may_have_run = False
        self.endpoint_failures = 0
        self._hedged = False
        self._hedge_delay_s = route.target_s * HEDGE_DELAY_IN_TARGETS
        self._last_reason = Reason.NO_ENDPOINT
        self._error_answer: EndpointResponse | None = None
        self.tried_endpoints: list[str] = []

    async def run(self) -> EndpointResponse | Refusal:
        """Start attempts until an endpoint answers or no further attempt is allowed or possible."""
        attempts: set[asyncio.Task[EndpointResponse | FailedAttempt]] = set()
        try:
            answer = await self._run_attempts(attempts)
        except asyncio.CancelledError:
            # The caller disconnected, so no response to its request is needed.
            for task in attempts:
                task.cancel()
            raise
        self._sender.finish_in_background(attempts)
        return answer

    async def _run_attempts(
        self, attempts: set[asyncio.Task[EndpointResponse | FailedAttempt]]
    ) -> EndpointResponse | Refusal:
        while True:
            if not attempts and not self._start_attempt(attempts):
                return self._final_answer()
            left_s = self._deadline_at_s - boot_now()
            may_hedge = self._may_hedge(attempts)
            wait_s = min(left_s, self._hedge_delay_s) if may_hedge else left_s
            done, _ = await asyncio.wait(
                attempts, timeout=max(0.0, wait_s), return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                attempts.discard(task)
                answer = self._evaluate(task.result())
                if answer is not None:
                    return answer
            if done:
                continue
            if boot_now() >= self._deadline_at_s:
                self._last_reason = Reason.TIMEOUT
                self.may_have_run = True
                return self._final_answer()
            # The attempt may be silent because it checks whether its endpoint has ended.
            may_hedge = may_hedge and self._sender.may_hedge(self._request)
            self._hedged = True
            if may_hedge and self._start_attempt(attempts):
                self._sender.count_hedge()

    def _evaluate(self, answer: EndpointResponse | FailedAttempt) -> EndpointResponse | None:
        """Return the response if it ends the exchange; None where another attempt may follow."""
        if isinstance(answer, FailedAttempt):
            self.may_have_run = self.may_have_run or answer.may_have_run
            self._last_reason = answer.reason
            return None
        repeatable = self._route.repeat is RepeatRule.IDEMPOTENT
        if answer.status >= 500 and repeatable:
            # This error response is returned to the caller if no other endpoint answers without an
            # error.
            self._error_answer = answer
            self.may_have_run = True
            self.endpoint_failures += answer.status == ENDPOINT_FAILURE_STATUS
            return None
        return answer

    def _may_hedge(self, attempts: set[asyncio.Task[EndpointResponse | FailedAttempt]]) -> bool:
        if self._route.repeat is not RepeatRule.IDEMPOTENT or len(attempts) != 1:
            return False
        if not self._sender.may_hedge(self._request):
            return False
        return not self._hedged and len(self.tried_endpoints) < self._route.max_attempts

    def _start_attempt(self, attempts: set[asyncio.Task[EndpointResponse | FailedAttempt]]) -> bool:
        """Start an attempt at another endpoint; return False where none is allowed or possible."""
        at_most_once = self._route.repeat is RepeatRule.ONCE
        if len(self.tried_endpoints) >= self._route.max_attempts or (
            at_most_once and self.may_have_run
        ):
            return False
        if self._deadline_at_s - boot_now() < MIN_ATTEMPT_S:
            return False
        if not self._sender.may_send(self._request):
            return False
        service = choose_service(self._route)
        regions = self._request.regions
        record = self._sender.choose_endpoint(service, self.tried_endpoints, at_most_once, regions)
        if record is None:
            if not self.tried_endpoints:
                self._last_reason = self._sender.reason_without_endpoint(service, regions)
            return False
        self.tried_endpoints.append(record.endpoint)
        attempt = self._sender.attempt(
            self._request, record, self._deadline_at_s, self._endpoint_deadline_at_s
        )
        attempts.add(asyncio.create_task(attempt))
        return True

    def _final_answer(self) -> EndpointResponse | Refusal:
        if self._error_answer is not None:
            return self._error_answer
        return final_refusal(self._last_reason, self.may_have_run)


def final_refusal(reason: Reason, may_have_run: bool) -> Refusal:
    """
    Build the refusal of a request that no endpoint answered.

    :param reason: why the last attempt failed, or why there was none.
    :param may_have_run: at least one endpoint may have run the request.
    """
    if reason is Reason.TIMEOUT:
        return Refusal(Reason.TIMEOUT, not may_have_run, None)
    if may_have_run:
        return Refusal(reason, False, None)
    lasting = reason in (Reason.EVACUATED, Reason.OUTSIDE_REGIONS)
    return Refusal(reason, True, LASTING_RETRY_AFTER_S if lasting else RETRY_AFTER_S)


def choose_service(route: Route) -> str:
    """
    Choose one of a route's services at random, in proportion to their weights.

    :return: the name of the service.
    """
    names = [share.service for share in route.shares]
    weights = [share.weight for share in route.shares]
    return random.choices(names, weights)[0]


__all__ = [
    "AttemptSender",
    "ENDPOINT_FAILURE_STATUS",
    "Exchange",
    "LASTING_RETRY_AFTER_S",
    "REASONS_BY_DURATION",
    "choose_service",
    "final_refusal",
]
