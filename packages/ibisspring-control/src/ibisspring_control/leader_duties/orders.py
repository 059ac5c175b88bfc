"""Orders to the platform and to engines: committed first, then sent under the leader lease."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import eliot

from ibisspring_control.leader_duties.proposals import commit
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.guarded_http import (
    HttpAnswer,
    HttpRequest,
    NoAnswer,
    send_guarded,
)
from ibisspring_core.messages.commands import IntentRecorded, OrderIntent, OrderResolved

if TYPE_CHECKING:
    from ibisspring_control.leader_duties.leadership import Leadership, LeadershipWatch
    from ibisspring_control.state import StateMachine
    from ibisspring_control.state.orders import Order
    from ibisspring_core.counters import Counters

PLATFORM = "platform"
HTTP_OK = 200
HTTP_ACCEPTED = 202
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409


@dataclass(frozen=True)
class OrderEnd:
    """
    The final outcome of an order to the platform or to an engine.

    :param outcome: `done`, `refused`, `unavailable` or `unknown`.
    :param detail: the receiver's explanation; for the outcome `unknown`, that of this daemon.
    """

    outcome: str
    detail: str = ""


@dataclass(frozen=True)
class OrderSettings:
    """
    Settings for sending orders to the platform and to engines.

    :param sender: id of this daemon, which the receiver writes to its log.
    :param platform_url: URL of the platform, to which an order's path is appended.
    :param timeout_s: time limit in seconds for the answer to an order.
    :param min_lease_s: minimum remaining time of the leader lease, in seconds, when the bytes of an
        order are written.
    """

    sender: str
    platform_url: str
    timeout_s: float
    min_lease_s: float


UrlOf = Callable[[str], str | None]


def wire_body(body: bytes, fencing: int) -> bytes:
    """
    Insert the fencing number into an order's body.

    The fencing number is assigned when the intent is committed, so the committed body does not
    contain it. The replicated state keeps both, so every leader sends the same bytes for an order
    id.

    :param body: the order as committed, a JSON object.
    :param fencing: the fencing number that was assigned at the commit.
    :return: body of the HTTP request to the receiver.
    """
    separator = b"" if body[1:2] == b"}" else b","
    return b'{"fencing":%d%s%s' % (fencing, separator, body[1:])


class Orders:
    """Commits, sends and resolves orders; each receiver gets one order at a time."""

    def __init__(
        self,
        consensus: Any,
        state: StateMachine,
        watch: LeadershipWatch,
        counters: Counters,
        settings: OrderSettings,
        url_of: UrlOf,
    ) -> None:
        self._consensus = consensus
        self._state = state
        self._watch = watch
        self._counters = counters
        self._settings = settings
        self._url_of = url_of
        # A receiver that checks fencing numbers refuses a lower number after a higher one. The lock
        # makes the orders to one receiver leave in the sequence of their fencing numbers.
        self._lock_by_receiver: dict[str, asyncio.Lock] = {}

    async def send(
        self, leadership: Leadership, receiver: str, order_id: str, order: dict[str, Any]
    ) -> OrderEnd | Refusal:
        """
        Commit an order's intent, send the order and record its outcome.

        :param leadership: the leadership under which the order is sent.
        :param receiver: `platform` or `endpoint:<id>`.
        :param order_id: idempotency key of the order; never reused for another order.
        :param order: the order's fields without `order_id` and `fencing`.
        :return: the order's outcome, or a refusal: `IN_PROGRESS` if an earlier order to this
            receiver is open; `MAY_HAVE_RUN` if no answer came (the order stays open and `resume`
            resolves it).
        """
        if self._url_of(receiver) is None:
            return Refusal(Reason.NO_ENDPOINT, not_run=True, detail=f"unknown receiver {receiver}")
        body = json.dumps({"order_id": order_id, **order}, separators=(",", ":")).encode()
        intent = OrderIntent(order_id, receiver, body)
        async with self._lock_of(receiver):
            if self._has_other_open_order(receiver, order_id):
                self._counters.refused(Reason.IN_PROGRESS)
                return Refusal(Reason.IN_PROGRESS, not_run=True, detail="an earlier order is open")
            recorded = await commit(self._consensus, intent, f"intent-{order_id}")
            if isinstance(recorded, Refusal):
                return recorded
            if not isinstance(recorded, IntentRecorded):
                return Refusal(Reason.CONFLICT, not_run=True, detail=str(recorded))
            return await self._send_committed(leadership, intent, recorded.fencing)

    async def resume(self, leadership: Leadership, order: Order) -> OrderEnd | Refusal:
        """
        Find the outcome of an open order, or send the order again under the same id.

        :param leadership: the leadership under which the requests are sent.
        :param order: an order that the replicated state holds as open.
        :return: the order's outcome or a refusal, as for `send`.
        """
        async with self._lock_of(order.intent.receiver):
            if not self._is_open(order.intent.order_id):
                return OrderEnd("done", "the order was resolved meanwhile")
            if order.intent.receiver == PLATFORM:
                end = await self._query_platform(leadership, order.intent.order_id)
                if isinstance(end, Refusal):
                    return end
                if end is not None:
                    return await self._resolve(order.intent, end)
            self._counters.retried(Reason.MAY_HAVE_RUN)
            return await self._send_committed(leadership, order.intent, order.fencing)

    def _is_open(self, order_id: str) -> bool:
        return any(order.intent.order_id == order_id for order in self._state.open_orders())

    def _has_other_open_order(self, receiver: str, order_id: str) -> bool:
        """
        Return whether an order to a receiver is open that has another id.

        A new order that is sent while an earlier one is open would arrive with a higher fencing
        number. A receiver that checks fencing numbers would then always refuse the earlier order,
        although that order may still be needed.
        """
        return any(
            order.intent.receiver == receiver and order.intent.order_id != order_id
            for order in self._state.open_orders()
        )

    def _lock_of(self, receiver: str) -> asyncio.Lock:
        return self._lock_by_receiver.setdefault(receiver, asyncio.Lock())

    async def _send_committed(
        self, leadership: Leadership, intent: OrderIntent, fencing: int
    ) -> OrderEnd | Refusal:
        base_url = self._url_of(intent.receiver)
        if base_url is None:
            return await self._resolve(intent, OrderEnd("unknown", "the receiver no longer exists"))
        headers = {
            "Content-Type": "application/json",
            "Idempotency-Key": intent.order_id,
            "X-Sender": f"{self._settings.sender}/{leadership.term}",
        }
        body = wire_body(intent.body, fencing)
        answer = await self._send_http(
            leadership, HttpRequest("POST", f"{base_url}/orders", body, headers)
        )
        if isinstance(answer, NoAnswer):
            return self._refuse_unanswered(intent, answer)
        end = parse_order_end(answer)
        if end is None:
            return self._refuse_unanswered(intent, NoAnswer(True, f"HTTP {answer.status}"))
        return await self._resolve(intent, end)

    async def _query_platform(
        self, leadership: Leadership, order_id: str
    ) -> OrderEnd | Refusal | None:
        url = f"{self._settings.platform_url}/orders/{order_id}"
        answer = await self._send_http(leadership, HttpRequest("GET", url))
        if isinstance(answer, NoAnswer):
            self._counters.retried(Reason.TIMEOUT)
            return Refusal(Reason.MAY_HAVE_RUN, not_run=False, detail=answer.detail)
        if answer.status == HTTP_NOT_FOUND:
            return None
        end = parse_order_end(answer)
        if end is None:
            return Refusal(Reason.MAY_HAVE_RUN, not_run=False, detail=f"HTTP {answer.status}")
        return end

    async def _send_http(
        self, leadership: Leadership, request: HttpRequest
    ) -> HttpAnswer | NoAnswer:
        return await send_guarded(
            request,
            lambda: self._watch.lease_left_s(leadership),
            self._settings.min_lease_s,
            self._settings.timeout_s,
        )

    def _refuse_unanswered(self, intent: OrderIntent, answer: NoAnswer) -> Refusal:
        reason = Reason.MAY_HAVE_RUN if answer.sent else Reason.LEASE_LAPSED
        self._counters.refused(reason)
        eliot.log_message(
            "order:unanswered", order=intent.order_id, sent=answer.sent, detail=answer.detail
        )
        return Refusal(reason, not_run=not answer.sent, detail=answer.detail)

    async def _resolve(self, intent: OrderIntent, end: OrderEnd) -> OrderEnd | Refusal:
        outcome = "refused" if end.outcome == "unavailable" else end.outcome
        command = OrderResolved(intent.order_id, outcome, end.detail)
        result = await commit(self._consensus, command, f"resolved-{intent.order_id}")
        eliot.log_message("order:ended", order=intent.order_id, outcome=end.outcome)
        if isinstance(result, Refusal):
            return result
        return end


def parse_order_end(answer: HttpAnswer) -> OrderEnd | None:
    """
    Parse the outcome of an order from a receiver's answer.

    :param answer: HTTP answer of the platform or of an engine.
    :return: None if the answer does not contain an outcome.
    """
    if answer.status == HTTP_CONFLICT:
        return OrderEnd("refused", "the receiver saw a higher fencing number")
    if answer.status not in (HTTP_OK, HTTP_ACCEPTED):
        return None
    try:
        fields = json.loads(answer.body or b"{}")
    except (ValueError, RecursionError):
        return None
    if not isinstance(fields, dict):
        return None
    outcome = fields.get("outcome", "done")
    if outcome not in ("done", "refused", "unavailable"):
        return None
    return OrderEnd(outcome, str(fields.get("detail", "")))


__all__ = ["PLATFORM", "OrderEnd", "OrderSettings", "Orders", "parse_order_end", "wire_body"]
