"""Forwards requests to endpoints of their route's services and returns the responses."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import aiohttp
import eliot

from ibisspring_core.clock import boot_now
from ibisspring_core.connections import CONNECT_TIMEOUT_S, check_end_of_body, headers_of
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.http_sessions import ends_with_connection
from ibisspring_core.routes.model import RepeatRule
from ibisspring_decisions.hedging import HedgeDelays, SuspectEndpoints
from ibisspring_decisions.routing import Candidate, Router
from ibisspring_gateway.attempts import EndpointResponse, FailedAttempt, SendResult
from ibisspring_gateway.exchange import ENDPOINT_FAILURE_STATUS, REASONS_BY_DURATION, Exchange
from ibisspring_gateway.repeated_exchange import RepeatedExchange
from ibisspring_gateway.wire import ResponseKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisspring_core.kernel import Kernel
    from ibisspring_core.messages.endpoints import EndpointRecord
    from ibisspring_core.routes.model import Route
    from ibisspring_core.settings.vm import VmSettings
    from ibisspring_gateway.attempts import ConnectTerms
    from ibisspring_gateway.wire import CallerRequest


class Forwarder:
    """The service `forwarder`: sends requests to endpoints, with retries and hedged attempts."""

    name = "forwarder"

    def __init__(self, data_centre: str, repeats: bool = False) -> None:
        self._repeats = repeats
        self.delays = HedgeDelays.from_defaults()
        self.suspects = SuspectEndpoints()
        self._router = Router.from_data_centre(data_centre, random.Random())
        self._in_flight_by_endpoint: dict[str, int] = {}
        self._background_attempts: set[asyncio.Task[EndpointResponse | FailedAttempt]] = set()

    @classmethod
    def from_config(cls, settings: VmSettings) -> Forwarder:
        """
        Build the forwarder of an entry, which prefers endpoints in its own data centre.

        :param settings: validated settings of the entry; its policy decides whether requests are
            repeated until they are answered.
        """
        return cls(settings.data_centre, settings.policy.hedging)

    async def start(self, kernel: Kernel) -> None:
        """Look up the services that the forwarder uses, such as the directory view."""
        self._view = kernel.find("directory_view")
        self._connections = kernel.find("connections")
        self._wire = kernel.find("endpoint_wire")
        self._counters = kernel.find("counters")
        self._usage = kernel.find("usage_counts")
        self._gate = kernel.find("send_gate")
        self._crash_suspects = kernel.find("crash_suspects")

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
        deadline_at_s = started_at_s + time_limit_s
        if self._repeats and route.repeat is RepeatRule.IDEMPOTENT:
            exchange = RepeatedExchange(self, request, route, deadline_at_s)
        else:
            exchange = Exchange(self, request, route, deadline_at_s, deadline_at_s)
        answer = await self._run_if_admitted(exchange, request, route, time_limit_s)
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
        exchange = Exchange(
            self, request, route, started_at_s + time_limit_s, started_at_s + left_s
        )
        answer = await self._run_if_admitted(exchange, request, route, time_limit_s)
        return SendResult(answer, exchange.may_have_run, exchange.endpoint_failures)

    async def _run_if_admitted(
        self,
        exchange: Exchange | RepeatedExchange,
        request: CallerRequest,
        route: Route,
        time_limit_s: float,
    ) -> EndpointResponse | Refusal:
        service = route.shares[0].service
        refusal = await self._crash_suspects.admit(request, service, time_limit_s)
        if refusal is not None:
            return refusal
        try:
            return await exchange.run()
        finally:
            self._crash_suspects.exchange_ended(request)

    def may_send(self, request: CallerRequest) -> bool:
        """Whether a request may be sent to another endpoint, by the endpoints that it ended."""
        return self._crash_suspects.may_send(request)

    def may_hedge(self, request: CallerRequest) -> bool:
        """Whether a request may be at two endpoints at the same time."""
        return self._crash_suspects.may_hedge(request)

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
        return self.choose_among(
            service, lambda endpoint: endpoint not in tried_endpoints, at_most_once, regions
        )

    def choose_among(
        self,
        service: str,
        is_allowed: Callable[[str], bool],
        at_most_once: bool,
        regions: tuple[str, ...] | None,
    ) -> EndpointRecord | None:
        """
        Choose one of the allowed endpoints of a service, as `choose_endpoint`.

        :param is_allowed: whether an endpoint, given by its id, may get the request.
        """
        record_by_id = {
            record.endpoint: record
            for record in self._view.serving(service)
            if is_allowed(record.endpoint) and self._gate.refusal(record, regions) is None
        }
        if self._repeats:
            trusted = self.suspects.without_suspects(record_by_id, boot_now())
            record_by_id = {endpoint: record_by_id[endpoint] for endpoint in trusted}
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

    def count_empty_budget(self) -> None:
        """Count an attempt that was not made because the budget is used up."""
        self._counters.add("forward.budget_empty")

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
        connect: ConnectTerms | None = None,
    ) -> EndpointResponse | FailedAttempt:
        """
        Send a request to one endpoint and read its complete response.

        :param record: the directory's record of the endpoint.
        :param deadline_at_s: boot-clock time at which this attempt times out.
        :param endpoint_deadline_at_s: boot-clock time at which the endpoint is asked to stop
            working on the request.
        :param connect: how the attempt gets its connection; None for the terms of the pool.
        """
        self._in_flight_by_endpoint[record.endpoint] = (
            self._in_flight_by_endpoint.get(record.endpoint, 0) + 1
        )
        started_at_s = boot_now()
        try:
            async with asyncio.timeout(deadline_at_s - started_at_s):
                answer = await self._send_attempt(request, record, endpoint_deadline_at_s, connect)
        except aiohttp.ConnectionTimeoutError as error:
            # No connection was opened, so nothing was sent.
            answer = FailedAttempt(Reason.ENDPOINT_FAILED, False, False, repr(error))
            if not self._repeats:
                answer = FailedAttempt(Reason.TIMEOUT, True)
        except TimeoutError:
            answer = FailedAttempt(Reason.TIMEOUT, True)
        except aiohttp.ClientConnectorError as error:
            answer = FailedAttempt(Reason.ENDPOINT_FAILED, False, False, repr(error))
        except (aiohttp.ClientError, OSError) as error:
            answer = FailedAttempt(Reason.ENDPOINT_FAILED, True, error=repr(error))
            in_flight = self._in_flight_by_endpoint[record.endpoint]
            await self._crash_suspects.check_end(request, record, in_flight)
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
            self._crash_suspects.record_answer(request)
            self._router.record_success(record.endpoint, took_s)
            if answer.status >= ENDPOINT_FAILURE_STATUS:
                self.suspects.mark(record.endpoint, boot_now())
                return
            self.suspects.clear(record.endpoint)
            self.delays.record(record.service, took_s, boot_now())
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
            sent=answer.sent,
            error=answer.error,
            after_s=round(took_s, 3),
        )
        self._router.record_failure(record.endpoint, boot_now())
        self.suspects.mark(record.endpoint, boot_now())

    async def _send_attempt(
        self,
        request: CallerRequest,
        record: EndpointRecord,
        endpoint_deadline_at_s: float,
        connect: ConnectTerms | None,
    ) -> EndpointResponse | FailedAttempt:
        refusal = self._gate.request_refusal(record, request.regions)
        if refusal is not None:
            return FailedAttempt(refusal, False, sent=False)
        headers = self._wire.call_headers(request, record, endpoint_deadline_at_s - boot_now())
        timeout_s = connect.timeout_s if connect is not None else CONNECT_TIMEOUT_S
        is_new = connect is not None and connect.is_new
        request_context = self._connections.request(
            request.method,
            record.address,
            request.target,
            headers,
            request.body,
            timeout_s,
            is_new,
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
            if ends_with_connection(response):
                self._counters.add("forward.body_until_close")
            body = await self._connections.read_body(response)
            await check_end_of_body(response, record.address)
            if not is_new:
                self._connections.record_idle(record.address, response_headers)
            if response_kind in (ResponseKind.REJECTED, ResponseKind.OTHER_ENDPOINT):
                return FailedAttempt(Reason.ENDPOINT_REFUSED, False)
            return EndpointResponse(response.status, response_headers, body)


def _outcome_of(answer: EndpointResponse | FailedAttempt | Refusal) -> str:
    return "answered" if isinstance(answer, EndpointResponse) else answer.reason.value


__all__ = ["Forwarder"]
