"""Passes a caller's request on to an endpoint of its route's service and returns its answer."""

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
from ibisspring_gateway.wire import Verdict

if TYPE_CHECKING:
    from ibisspring_core.connections import Headers
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.messages.endpoints import EndpointRecord
    from ibisspring_core.routes.model import Route
    from ibisspring_core.settings.vm import VmSettings
    from ibisspring_gateway.wire import CallerRequest

# A second endpoint gets an idempotent request that has no answer by then: longer than almost all
# answers take, short enough that the second one still comes within the target.
HEDGE_SHARE_OF_TARGET = 0.5
# Less time than this is no use to an endpoint.
LEAST_LEFT_S = 0.02
RETRY_AFTER_S = 0.25
# An endpoint's word that it ran the request and failed; other errors may be another's fault.
FAILED_STATUS = 500


@dataclass(frozen=True)
class Answer:
    """
    An endpoint's whole answer.

    :param headers: as the endpoint sent them, without those of its connection.
    """

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True)
class Sent:
    """
    How a request ended that was sent on.

    :param answer: an endpoint's whole answer, or why there is none.
    :param ran: an endpoint may have run it.
    :param errors: endpoints that said that they failed it.
    """

    answer: Answer | Refusal
    ran: bool
    errors: int


@dataclass(frozen=True)
class Failed:
    """
    A try that brought no answer.

    :param ran: the endpoint may have run the request.
    """

    reason: Reason
    ran: bool


class Forwarder:
    """The service `forwarder`."""

    name = "forwarder"

    def __init__(self, data_centre: str) -> None:
        self._router = Router.from_data_centre(data_centre, random.Random())
        self._in_flight_by_endpoint: dict[str, int] = {}
        self._background: set[asyncio.Task[Answer | Failed]] = set()

    @classmethod
    def from_config(cls, settings: VmSettings) -> Forwarder:
        """
        Build the service.

        :param settings: checked settings of an entry.
        :return: the service.
        """
        return cls(settings.data_centre)

    async def start(self, kernel: Kernel) -> None:
        """Find the parts it works with."""
        self._view = kernel.find("directory_view")
        self._connections = kernel.find("connections")
        self._wire = kernel.find("endpoint_wire")
        self._counters = kernel.find("counters")
        self._usage = kernel.find("usage_counts")

    async def stop(self) -> None:
        """End tries that nobody waits for."""
        for task in self._background:
            task.cancel()

    async def forward(self, request: CallerRequest, route: Route) -> Answer | Refusal:
        """
        Pass a request on, trying other endpoints where the route allows it.

        :param route: its route.
        :return: an endpoint's whole answer; a refusal that says truthfully whether it may have run.
        """
        bound_s = min(route.timeout_s, request.left_s or route.timeout_s)
        began_s = boot_now()
        exchange = _Exchange(self, request, route, began_s + bound_s, began_s + bound_s)
        answer = await exchange.run()
        if exchange.ran or isinstance(answer, Answer):
            self._usage.began(request.client_account, boot_now() - began_s)
        took_s = boot_now() - began_s
        self._counters.observe("request_seconds", took_s, _outcome_of(answer))
        if isinstance(answer, Refusal):
            self._counters.refused(answer.reason)
            eliot.log_message(
                "forward:refused",
                request=request.request,
                route=route.name,
                reason=answer.reason.value,
                not_run=answer.not_run,
                tries=list(exchange.tried),
            )
        return answer

    async def send(self, request: CallerRequest, route: Route, patience_s: float) -> Sent:
        """
        Pass on a request that the system makes itself; it is in no account's usage.

        :param request: `left_s` is what endpoints are told.
        :param patience_s: seconds until this sending is given up.
        """
        began_s = boot_now()
        left_s = request.left_s or patience_s
        exchange = _Exchange(self, request, route, began_s + patience_s, began_s + left_s)
        answer = await exchange.run()
        return Sent(answer, exchange.ran, exchange.errors)

    def choose(self, service: str, tried: list[str], once: bool) -> EndpointRecord | None:
        """Choose an endpoint that was not tried yet; None where there is none."""
        record_by_id = {
            record.endpoint: record
            for record in self._view.serving(service)
            if record.endpoint not in tried
        }
        candidates = tuple(self._candidate(record) for record in record_by_id.values())
        chosen = self._router.choose(candidates, boot_now(), repeatable=not once)
        return record_by_id[chosen] if chosen is not None else None

    def _candidate(self, record: EndpointRecord) -> Candidate:
        return Candidate(
            endpoint=record.endpoint,
            data_centre=record.data_centre,
            kind=record.kind,
            running=0,
            queued=0,
            capacity=max(1, record.load.capacity),
            in_flight=self._in_flight_by_endpoint.get(record.endpoint, 0),
            connected=self._connections.idle(record.address),
        )

    def hedged(self) -> None:
        """Count a second endpoint that was asked because the first was slow."""
        self._counters.add("forward.hedged")

    def leave(self, tries: set[asyncio.Task[Answer | Failed]]) -> None:
        """
        Let tries end whose answer nobody needs any more.

        Broken off, the endpoint's work would be thrown away all the same, and the connection with
        it.
        """
        for task in tries:
            self._background.add(task)
            task.add_done_callback(self._background.discard)

    async def attempt(
        self, request: CallerRequest, to: EndpointRecord, end_s: float, told_end_s: float
    ) -> Answer | Failed:
        """
        Send a request to one endpoint and read its whole answer.

        :param end_s: when this is given up.
        :param told_end_s: when the endpoint is told to stop.
        """
        self._in_flight_by_endpoint[to.endpoint] = (
            self._in_flight_by_endpoint.get(to.endpoint, 0) + 1
        )
        began_s = boot_now()
        try:
            async with asyncio.timeout(end_s - began_s):
                answer = await self._exchange(request, to, told_end_s)
        except TimeoutError:
            answer = Failed(Reason.TIMEOUT, True)
        except aiohttp.ClientConnectorError:
            answer = Failed(Reason.ENDPOINT_FAILED, False)
        except (aiohttp.ClientError, OSError):
            answer = Failed(Reason.ENDPOINT_FAILED, True)
        finally:
            self._in_flight_by_endpoint[to.endpoint] -= 1
        self._learn(request, to, answer, boot_now() - began_s)
        return answer

    def _learn(
        self, request: CallerRequest, to: EndpointRecord, answer: Answer | Failed, took_s: float
    ) -> None:
        self._counters.observe("try_seconds", took_s, _outcome_of(answer))
        if isinstance(answer, Answer):
            self._router.answered(to.endpoint, took_s)
            return
        self._counters.retried(answer.reason)
        eliot.log_message(
            "forward:try_failed",
            request=request.request,
            endpoint=to.endpoint,
            reason=answer.reason.value,
            ran=answer.ran,
            after_s=round(took_s, 3),
        )
        self._router.failed(to.endpoint, boot_now())

    async def _exchange(
        self, request: CallerRequest, to: EndpointRecord, told_end_s: float
    ) -> Answer | Failed:
        headers = self._wire.call_headers(request, to, told_end_s - boot_now())
        sending = self._connections.request(
            request.method, to.address, request.target, headers, request.body
        )
        async with sending as response:
            answered = headers_of(response)
            verdict = self._wire.call_verdict(request, response.status, answered)
            if verdict is Verdict.NOT_OURS:
                # An extra answer to an earlier request: what follows on this connection cannot be
                # told apart either.
                response.close()
                return Failed(Reason.MISMATCHED_ANSWER, True)
            body = await response.read()
            self._connections.released(to.address, answered)
            if verdict in (Verdict.TURNED_AWAY, Verdict.OTHER_ENDPOINT):
                return Failed(Reason.ENDPOINT_REFUSED, False)
            return Answer(response.status, answered, body)


class _Exchange:
    """One caller's request with all its tries."""

    def __init__(
        self,
        forwarder: Forwarder,
        request: CallerRequest,
        route: Route,
        end_s: float,
        told_end_s: float,
    ) -> None:
        self._forwarder = forwarder
        self._request = request
        self._route = route
        self._end_s = end_s
        self._told_end_s = told_end_s
        self.ran = False
        self.errors = 0
        self._hedged = False
        self._hedge_s = route.target_s * HEDGE_SHARE_OF_TARGET
        self._last = Reason.NO_ENDPOINT
        self._error: Answer | None = None
        self.tried: list[str] = []

    async def run(self) -> Answer | Refusal:
        """Try until an endpoint answers or nothing is left to try."""
        tries: set[asyncio.Task[Answer | Failed]] = set()
        try:
            answer = await self._run(tries)
        except asyncio.CancelledError:
            # The caller left: nobody needs what the endpoints are at work on.
            for task in tries:
                task.cancel()
            raise
        self._forwarder.leave(tries)
        return answer

    async def _run(self, tries: set[asyncio.Task[Answer | Failed]]) -> Answer | Refusal:
        while True:
            if not tries and not self._begin(tries):
                return self._give_up()
            left_s = self._end_s - boot_now()
            hedges = self._may_hedge(tries)
            wait_s = min(left_s, self._hedge_s) if hedges else left_s
            done, _ = await asyncio.wait(
                tries, timeout=max(0.0, wait_s), return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                tries.discard(task)
                answer = self._judge(task.result())
                if answer is not None:
                    return answer
            if done:
                continue
            if boot_now() >= self._end_s:
                self._last = Reason.TIMEOUT
                self.ran = True
                return self._give_up()
            self._hedged = True
            if hedges and self._begin(tries):
                self._forwarder.hedged()

    def _judge(self, answer: Answer | Failed) -> Answer | None:
        if isinstance(answer, Failed):
            self.ran = self.ran or answer.ran
            self._last = answer.reason
            return None
        repeatable = self._route.repeat is RepeatRule.IDEMPOTENT
        if answer.status >= 500 and repeatable:
            # Kept for the caller in case that no other endpoint does better.
            self._error = answer
            self.ran = True
            self.errors += answer.status == FAILED_STATUS
            return None
        return answer

    def _may_hedge(self, tries: set[asyncio.Task[Answer | Failed]]) -> bool:
        if self._route.repeat is not RepeatRule.IDEMPOTENT or len(tries) != 1:
            return False
        return not self._hedged and len(self.tried) < self._route.max_attempts

    def _begin(self, tries: set[asyncio.Task[Answer | Failed]]) -> bool:
        """Begin a try at another endpoint; False where there must or can be none."""
        once = self._route.repeat is RepeatRule.ONCE
        if len(self.tried) >= self._route.max_attempts or (once and self.ran):
            return False
        if self._end_s - boot_now() < LEAST_LEFT_S:
            return False
        record = self._forwarder.choose(pick_service(self._route), self.tried, once)
        if record is None:
            return False
        self.tried.append(record.endpoint)
        attempt = self._forwarder.attempt(self._request, record, self._end_s, self._told_end_s)
        tries.add(asyncio.create_task(attempt))
        return True

    def _give_up(self) -> Answer | Refusal:
        if self._error is not None:
            return self._error
        if self._last is Reason.TIMEOUT:
            return Refusal(Reason.TIMEOUT, not self.ran, None)
        return Refusal(self._last, not self.ran, None if self.ran else RETRY_AFTER_S)


def _outcome_of(answer: Answer | Failed | Refusal) -> str:
    return "answered" if isinstance(answer, Answer) else answer.reason.value


def pick_service(route: Route) -> str:
    """
    Draw one of the services that share a route, by their weights.

    :return: its name.
    """
    names = [share.service for share in route.shares]
    weights = [share.weight for share in route.shares]
    return random.choices(names, weights)[0]


__all__ = ["Answer", "Forwarder", "Sent", "pick_service"]
