"""Forwards requests to endpoints of their route's services and returns the responses."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp
import eliot

from ibisspring_core.clock import boot_now
from ibisspring_core.connections import headers_of
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.routes.model import RepeatRule
from ibisspring_decisions.routing import Candidate, Router
from ibisspring_gateway.wire import ResponseKind

if TYPE_CHECKING:
    from ibisspring_core.connections import Headers
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.messages.endpoints import EndpointRecord
    from ibisspring_core.routes.model import Route
    from ibisspring_core.settings.vm import VmSettings
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


@dataclass(frozen=True)
class EndpointResponse:
    """
    An endpoint's complete response to a forwarded request.

    :param headers: response headers as the endpoint sent them.
    """

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True)
class SendResult:
    """
    The result of a request that the system itself sent, such as a reward call.

    :param answer: an endpoint's complete response, or a refusal that says why there is none.
    :param may_have_run: at least one endpoint may have run the request.
    :param endpoint_failures: number of endpoints that ran the request and failed.
    """

    answer: EndpointResponse | Refusal
    may_have_run: bool
    endpoint_failures: int


@dataclass(frozen=True)
class FailedAttempt:
    """
    The reason why an attempt at one endpoint got no usable response.

    :param may_have_run: the endpoint may have run the request.
    """

    reason: Reason
    may_have_run: bool


class Forwarder:
    """The service `forwarder`: sends requests to endpoints, with retries and hedged attempts."""

    name = "forwarder"

    def __init__(self, data_centre: str) -> None:
        self._router = Router.from_data_centre(data_centre, random.Random())
        self._in_flight_by_endpoint: dict[str, int] = {}
        self._background_attempts: set[asyncio.Task[EndpointResponse | FailedAttempt]] = set()

    @classmethod
    def from_config(cls, settings: VmSettings) -> Forwarder:
        """
        Build the forwarder of an entry, which prefers endpoints in its own data centre.

        :param settings: validated settings of the entry.
        """
        return cls(settings.data_centre)

    async def start(self, kernel: Kernel) -> None:
        """Look up the services that the forwarder uses, such as the directory view."""
        self._view = kernel.find("directory_view")
        self._connections = kernel.find("connections")
        self._wire = kernel.find("endpoint_wire")
        self._counters = kernel.find("counters")
        self._usage = kernel.find("usage_counts")
        self._gate = kernel.find("send_gate")

    async def stop(self) -> None:
        """Cancel the attempts whose requests have already been answered."""
        for task in self._background_attempts:
            task.cancel()

    async def forward(self, request: CallerRequest, route: Route) -> EndpointResponse | Refusal:
        """
        Forward a caller's request, with attempts at several endpoints where the route allows them.

        :param route: the route of the request.
        :return: an endpoint's complete response, or a refusal; its `not_run` is True only where no
            endpoint can have run the request.
        """
        time_limit_s = min(route.timeout_s, request.remaining_s or route.timeout_s)
        started_at_s = boot_now()
        exchange = _Exchange(
            self, request, route, started_at_s + time_limit_s, started_at_s + time_limit_s
        )
        answer = await exchange.run()
        if exchange.may_have_run or isinstance(answer, EndpointResponse):
            self._usage.count_request(request.client_account, boot_now() - started_at_s)
        took_s = boot_now() - started_at_s
        self._counters.observe("request_seconds", took_s, _outcome_of(answer))
        if isinstance(answer, Refusal):
            self._counters.refused(answer.reason)
            eliot.log_message(
                "forward:refused",
                request=request.request_id,
                route=route.name,
                reason=answer.reason.value,
                not_run=answer.not_run,
                tries=list(exchange.tried_endpoints),
                evacuated=list(self._view.view.evacuated),
            )
        return answer

    async def send(self, request: CallerRequest, route: Route, time_limit_s: float) -> SendResult:
        """
        Send a request of the system itself, which counts for no account's usage.

        :param request: the request; its `remaining_s` determines the deadline that is sent to
            endpoints.
        :param time_limit_s: seconds after which this call returns without a response.
        """
        started_at_s = boot_now()
        left_s = request.remaining_s or time_limit_s
        exchange = _Exchange(
            self, request, route, started_at_s + time_limit_s, started_at_s + left_s
        )
        answer = await exchange.run()
        return SendResult(answer, exchange.may_have_run, exchange.endpoint_failures)

    def choose_endpoint(
        self,
        service: str,
        tried_endpoints: list[str],
        at_most_once: bool,
        regions: tuple[str, ...] | None,
    ) -> EndpointRecord | None:
        """
        Choose an endpoint of a service for the next attempt of a request.

        :param regions: regions in which the request may run; None for all.
        :param tried_endpoints: ids of the endpoints of earlier attempts, which are excluded.
        :param at_most_once: the request must not run twice.
        :return: the endpoint; None where the service has no endpoint that was not tried.
        """
        record_by_id = {
            record.endpoint: record
            for record in self._view.serving(service)
            if record.endpoint not in tried_endpoints
            and self._gate.refusal(record, regions) is None
        }
        candidates = tuple(self._candidate(record) for record in record_by_id.values())
        chosen = self._router.choose(candidates, boot_now(), repeatable=not at_most_once)
        return record_by_id[chosen] if chosen is not None else None

    def reason_without_endpoint(self, service: str, regions: tuple[str, ...] | None) -> Reason:
        """
        Return why no endpoint of a service can be chosen for a request that was sent nowhere yet.

        :param regions: regions in which the request may run; None for all.
        """
        reasons = {self._gate.refusal(record, regions) for record in self._view.serving(service)}
        without_endpoint = Reason.NO_ENDPOINT
        if self._view.has_evacuated(service):
            without_endpoint = Reason.EVACUATED
        return next(
            (reason for reason in REASONS_BY_DURATION if reason in reasons), without_endpoint
        )

    def _candidate(self, record: EndpointRecord) -> Candidate:
        return Candidate(
            endpoint=record.endpoint,
            data_centre=record.data_centre,
            kind=record.kind,
            running=0,
            queued=0,
            capacity=max(1, record.load.capacity),
            in_flight=self._in_flight_by_endpoint.get(record.endpoint, 0),
            has_idle_connection=self._connections.idle(record.address),
        )

    def count_hedge(self) -> None:
        """Count an attempt that was started because the first endpoint was slow."""
        self._counters.add("forward.hedged")

    def finish_in_background(
        self, attempts: set[asyncio.Task[EndpointResponse | FailedAttempt]]
    ) -> None:
        """
        Let the remaining attempts of an answered request end by themselves.

        The attempts' responses are not used. The endpoints' work is wasted either way, but
        cancelling the attempts would also close their connections.
        """
        for task in attempts:
            self._background_attempts.add(task)
            task.add_done_callback(self._background_attempts.discard)

    async def attempt(
        self,
        request: CallerRequest,
        record: EndpointRecord,
        deadline_at_s: float,
        endpoint_deadline_at_s: float,
    ) -> EndpointResponse | FailedAttempt:
        """
        Send a request to one endpoint and read its complete response.

        :param record: the directory's record of the endpoint.
        :param deadline_at_s: boot-clock time at which this attempt times out.
        :param endpoint_deadline_at_s: boot-clock time at which the endpoint is asked to stop
            working on the request.
        """
        self._in_flight_by_endpoint[record.endpoint] = (
            self._in_flight_by_endpoint.get(record.endpoint, 0) + 1
        )
        started_at_s = boot_now()
        try:
            async with asyncio.timeout(deadline_at_s - started_at_s):
                answer = await self._send_attempt(request, record, endpoint_deadline_at_s)
        except TimeoutError:
            answer = FailedAttempt(Reason.TIMEOUT, True)
        except aiohttp.ClientConnectorError:
            answer = FailedAttempt(Reason.ENDPOINT_FAILED, False)
        except (aiohttp.ClientError, OSError):
            answer = FailedAttempt(Reason.ENDPOINT_FAILED, True)
        finally:
            self._in_flight_by_endpoint[record.endpoint] -= 1
        self._record_attempt(request, record, answer, boot_now() - started_at_s)
        return answer

    def _record_attempt(
        self,
        request: CallerRequest,
        record: EndpointRecord,
        answer: EndpointResponse | FailedAttempt,
        took_s: float,
    ) -> None:
        self._counters.observe("try_seconds", took_s, _outcome_of(answer))
        if isinstance(answer, EndpointResponse):
            self._router.record_success(record.endpoint, took_s)
            return
        self._counters.retried(answer.reason)
        if answer.reason in REASONS_BY_DURATION:
            # The endpoint itself did not fail, so it is not ejected.
            return
        eliot.log_message(
            "forward:try_failed",
            request=request.request_id,
            endpoint=record.endpoint,
            reason=answer.reason.value,
            ran=answer.may_have_run,
            after_s=round(took_s, 3),
        )
        self._router.record_failure(record.endpoint, boot_now())

    async def _send_attempt(
        self, request: CallerRequest, record: EndpointRecord, endpoint_deadline_at_s: float
    ) -> EndpointResponse | FailedAttempt:
        refusal = self._gate.request_refusal(record, request.regions)
        if refusal is not None:
            return FailedAttempt(refusal, False)
        headers = self._wire.call_headers(request, record, endpoint_deadline_at_s - boot_now())
        request_context = self._connections.request(
            request.method, record.address, request.target, headers, request.body
        )
        async with request_context as response:
            response_headers = headers_of(response)
            response_kind = self._wire.classify_call_response(
                request, response.status, response_headers
            )
            if response_kind is ResponseKind.OTHER_REQUEST:
                # An extra response to an earlier request. Later responses on this connection could
                # not be matched to their requests either, so it is closed.
                response.close()
                return FailedAttempt(Reason.MISMATCHED_ANSWER, True)
            body = await response.read()
            self._connections.record_idle(record.address, response_headers)
            if response_kind in (ResponseKind.REJECTED, ResponseKind.OTHER_ENDPOINT):
                return FailedAttempt(Reason.ENDPOINT_REFUSED, False)
            return EndpointResponse(response.status, response_headers, body)


class _Exchange:
    """One request with all its attempts."""

    def __init__(
        self,
        forwarder: Forwarder,
        request: CallerRequest,
        route: Route,
        deadline_at_s: float,
        endpoint_deadline_at_s: float,
    ) -> None:
        self._forwarder = forwarder
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
        self._forwarder.finish_in_background(attempts)
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
            self._hedged = True
            if may_hedge and self._start_attempt(attempts):
                self._forwarder.count_hedge()

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
        service = choose_service(self._route)
        regions = self._request.regions
        record = self._forwarder.choose_endpoint(
            service, self.tried_endpoints, at_most_once, regions
        )
        if record is None:
            if not self.tried_endpoints:
                self._last_reason = self._forwarder.reason_without_endpoint(service, regions)
            return False
        self.tried_endpoints.append(record.endpoint)
        attempt = self._forwarder.attempt(
            self._request, record, self._deadline_at_s, self._endpoint_deadline_at_s
        )
        attempts.add(asyncio.create_task(attempt))
        return True

    def _final_answer(self) -> EndpointResponse | Refusal:
        if self._error_answer is not None:
            return self._error_answer
        if self._last_reason is Reason.TIMEOUT:
            return Refusal(Reason.TIMEOUT, not self.may_have_run, None)
        if self.may_have_run:
            return Refusal(self._last_reason, False, None)
        lasting = self._last_reason in (Reason.EVACUATED, Reason.OUTSIDE_REGIONS)
        return Refusal(self._last_reason, True, LASTING_RETRY_AFTER_S if lasting else RETRY_AFTER_S)


def _outcome_of(answer: EndpointResponse | FailedAttempt | Refusal) -> str:
    return "answered" if isinstance(answer, EndpointResponse) else answer.reason.value


def choose_service(route: Route) -> str:
    """
    Choose one of a route's services at random, in proportion to their weights.

    :return: the name of the service.
    """
    names = [share.service for share in route.shares]
    weights = [share.weight for share in route.shares]
    return random.choices(names, weights)[0]


__all__ = ["EndpointResponse", "Forwarder", "SendResult", "choose_service"]
