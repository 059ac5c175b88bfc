"""The client of the control daemons: finds their leader, retries and follows redirects."""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import grpc
import msgspec

from ibisspring_core.cancellation import is_task_cancelled
from ibisspring_core.clock import boot_now
from ibisspring_core.control_channels import ControlChannels
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.messages.commands import COMMANDS, RESULTS
from ibisspring_core.pb import control_pb2

if TYPE_CHECKING:
    from ibisspring_core.counters import Counters
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.settings import Settings

# Time limit of one try, in seconds. A commit takes milliseconds and the server waits at most one
# second until all entries have received the change, so that no reply within two seconds means a
# dead or silent connection.
TRY_S = 2.0
# Time limit of all tries of a call, in seconds; longer than the detection of a leader's failure and
# the election of a new leader.
TOTAL_S = 10.0
# Time limits of one try and of all tries of a lease renewal, in seconds in addition to its
# long-poll time. After a failed renewal, enough time must remain for the next renewal before a
# lease of three seconds lapses.
RENEW_TRY_S = 0.8
RENEW_TOTAL_S = 1.7
RETRY_PAUSE_S = 0.1
REDIRECT_PAUSE_S = 0.01
MIN_TIMEOUT_S = 0.05
# Seconds for which an address that did not answer is not called, not even after a redirect: the
# other replicas redirect to a frozen leader until they have elected a new one.
AVOID_S = 2.0
RETRY_AFTER_S = 1.0


@dataclass(frozen=True)
class Attempt:
    """
    The outcome of one try of a call.

    :param reply: the reply; None if there is none.
    :param reason: the reason why there is no reply.
    :param sent: True if the request may have reached a leader, although there is no reply.
    """

    reply: Any | None
    reason: Reason = Reason.NO_LEADER
    sent: bool = False


class ControlClient:
    """
    Sends commands, reads and lease renewals to the leader of the control daemons.

    A command is sent again under the same request id until a reply arrives or its time limit is
    reached; the state machine applies it once.
    """

    name = "control_client"

    def __init__(self, address_by_daemon: dict[str, str]) -> None:
        self.address_by_daemon = address_by_daemon
        self._channels = ControlChannels()
        self._leader_address: str | None = None
        self._avoided_until_by_address: dict[str, float] = {}
        self._rotation = random.randrange(max(1, len(address_by_daemon)))
        self._counters: Counters | None = None

    @classmethod
    def from_config(cls, settings: Settings) -> ControlClient:
        """
        Build the client from a daemon's settings; channels open with the first call.

        :param settings: settings with the addresses of the control daemons.
        """
        return cls(dict(settings.control_addresses))

    async def start(self, kernel: Kernel) -> None:
        """Look up the service `counters`, which counts retries and refusals."""
        self._counters = kernel.find("counters")

    async def stop(self) -> None:
        """Close the channels to the control daemons."""
        await self._channels.close()

    async def propose(self, command: Any, request_id: str, total_s: float = TOTAL_S) -> Any:
        """
        Commit a command.

        :param command: a command of `ibisspring_core.messages.commands`.
        :param request_id: idempotency key; the same for every resend of the command, also in later
            calls.
        :param total_s: time limit of all tries together, in seconds.
        :return: the command's result, which may be `Refused`; a `Refusal` if no leader answered,
            with `not_run` True only if no try can have reached a leader.
        """
        request = control_pb2.ProposeRequest(
            request_id=request_id, command=COMMANDS.encode(command)
        )
        reply = await self._call("Propose", request, TRY_S, total_s)
        if isinstance(reply, Refusal):
            return reply
        return RESULTS.decode(reply.result)

    async def read(
        self, query: str, *, total_s: float = TOTAL_S, **arguments: Any
    ) -> dict[str, Any] | Refusal:
        """
        Run a linearizable read: a quorum confirms that the state is current.

        :param query: name of a query listed in docs/reference/command-line.md.
        :param total_s: time limit of all tries together, in seconds.
        :return: the JSON object of the reply, or a refusal.
        """
        request = control_pb2.ReadRequest(query=query, arguments=msgspec.msgpack.encode(arguments))
        reply = await self._call("Read", request, TRY_S, total_s)
        if isinstance(reply, Refusal):
            return reply
        return json.loads(reply.answer)

    async def renew(self, request: control_pb2.RenewRequest) -> control_pb2.RenewReply | Refusal:
        """
        Renew an entry's lease.

        :param request: the renewal. The caller counts the lease's duration from a time before this
            call.
        :return: the leader's reply, or a refusal.
        """
        hold_s = request.hold_s
        return await self._call("Renew", request, hold_s + RENEW_TRY_S, hold_s + RENEW_TOTAL_S)

    async def _call(self, method: str, request: Any, try_s: float, total_s: float) -> Any:
        end_s = boot_now() + total_s
        sent = False
        detail = "no control daemon answered"
        while True:
            left_s = end_s - boot_now()
            if left_s <= 0.0:
                return self._refuse(sent, detail)
            address = self._next_address()
            attempt = await self._try(address, method, request, min(try_s, left_s))
            sent = sent or attempt.sent
            reply = attempt.reply
            if reply is None:
                await self._pause(attempt.reason, end_s)
                continue
            if reply.status == control_pb2.OK:
                self._leader_address = address
                return reply
            detail = reply.detail or detail
            if reply.status == control_pb2.INVALID:
                return Refusal(Reason.BAD_REQUEST, True, None, reply.detail)
            if reply.status == control_pb2.UNKNOWN:
                # The leader replied that the command may or may not have been committed, or that
                # some entries have not received its result yet.
                sent = True
                await self._pause(Reason.IN_PROGRESS, end_s)
                continue
            self._follow(reply.leader_hint, address)
            await self._pause(Reason.NO_LEADER, end_s)

    async def _try(self, address: str, method: str, request: Any, timeout_s: float) -> Attempt:
        start_s = boot_now()
        if not await self._channels.connect(address, timeout_s):
            self._avoid(address)
            return Attempt(None)
        try:
            call = getattr(self._channels.stub(address), method)
            left_s = max(MIN_TIMEOUT_S, timeout_s - (boot_now() - start_s))
            return Attempt(await call(request, timeout=left_s))
        except asyncio.CancelledError:
            if is_task_cancelled():
                raise
            # Another call on the channel timed out, and the channel was closed.
            return Attempt(None, Reason.NO_LEADER, sent=True)
        except grpc.aio.AioRpcError as error:
            if error.code() == grpc.StatusCode.DEADLINE_EXCEEDED:
                self._avoid(address)
                self._channels.replace(address)
                return Attempt(None, Reason.TIMEOUT, sent=True)
            self._forget_leader(address)
            # gRPC does not report whether bytes were sent before the connection broke, so the
            # request counts as sent.
            return Attempt(None, Reason.NO_LEADER, sent=True)

    def _avoid(self, address: str) -> None:
        """Call only the other replicas for the next `AVOID_S` seconds, if there are any."""
        self._forget_leader(address)
        self._avoided_until_by_address[address] = boot_now() + AVOID_S

    def _next_address(self) -> str:
        if self._leader_address is not None:
            return self._leader_address
        addresses = list(self.address_by_daemon.values())
        now = boot_now()
        for _ in addresses:
            self._rotation = (self._rotation + 1) % len(addresses)
            address = addresses[self._rotation]
            if self._avoided_until_by_address.get(address, 0.0) <= now:
                return address
        return addresses[self._rotation]

    def _follow(self, hint: str, address: str) -> None:
        self._forget_leader(address)
        hinted = self.address_by_daemon.get(hint)
        if hinted is None or hinted == address:
            return
        if self._avoided_until_by_address.get(hinted, 0.0) > boot_now():
            return
        self._leader_address = hinted

    def _forget_leader(self, address: str) -> None:
        if self._leader_address == address:
            self._leader_address = None

    async def _pause(self, reason: Reason, end_s: float) -> None:
        if self._counters is not None:
            self._counters.retried(reason)
        # Two replicas may redirect to each other for a short time, so there is a pause before
        # following a redirect too.
        redirected = self._leader_address is not None and reason is Reason.NO_LEADER
        pause_s = REDIRECT_PAUSE_S if redirected else RETRY_PAUSE_S
        await asyncio.sleep(min(pause_s, max(0.0, end_s - boot_now())))

    def _refuse(self, sent: bool, detail: str) -> Refusal:
        if self._counters is not None:
            self._counters.refused(Reason.NO_LEADER)
        return Refusal(Reason.NO_LEADER, not sent, RETRY_AFTER_S, detail)


__all__ = ["ControlClient"]
