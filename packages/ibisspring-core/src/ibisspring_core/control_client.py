"""Finds the control leader and speaks to it."""

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

# A commit takes milliseconds and a wait for the entries is cut at one second by the server; two
# seconds without an answer are a dead or silent connection.
TRY_S = 2.0
# Longer than an election and the silence before it.
TOTAL_S = 10.0
# One renewal, beyond its hold, must leave time for the next before a lease of three seconds lapses.
RENEW_TRY_S = 0.8
RENEW_TOTAL_S = 1.7
RETRY_PAUSE_S = 0.1
HINT_PAUSE_S = 0.01
MIN_TIMEOUT_S = 0.05
# A leader that froze is still named by the others until they elect a new one.
SUSPECT_S = 2.0
RETRY_AFTER_S = 1.0


@dataclass(frozen=True)
class Attempt:
    """
    What one try gave.

    :param reply: the leader's answer; None where there is none.
    :param why: why there is none.
    :param sent: the request may have reached a leader.
    """

    reply: Any | None
    why: Reason = Reason.NO_LEADER
    sent: bool = False


class ControlClient:
    """
    The connection to the control daemons.

    A command is sent again under the same request id until it has an answer or its time is over;
    the state machine applies it once.
    """

    name = "control_client"

    def __init__(self, address_by_daemon: dict[str, str]) -> None:
        self.address_by_daemon = address_by_daemon
        self._channels = ControlChannels()
        self._leader_address: str | None = None
        self._suspect_until_by_address: dict[str, float] = {}
        self._rotation = random.randrange(max(1, len(address_by_daemon)))
        self._counters: Counters | None = None

    @classmethod
    def from_config(cls, settings: Settings) -> ControlClient:
        """
        Build the client; it connects when it is first used.

        :param settings: where the control daemons listen.
        :return: the client.
        """
        return cls(dict(settings.control_addresses))

    async def start(self, kernel: Kernel) -> None:
        """Find the counters."""
        self._counters = kernel.find("counters")

    async def stop(self) -> None:
        """Close the connections."""
        await self._channels.close()

    async def propose(self, command: Any, request_id: str, total_s: float = TOTAL_S) -> Any:
        """
        Commit a command.

        :param command: a command of `ibisspring_core.messages.commands`.
        :param request_id: the same for every resend of this command, also in later calls.
        :param total_s: longest time for all tries together.
        :return: its result, `Refused` included; a `Refusal` where no leader answered, with
            `not_run` True only when no try can have reached a leader.
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
        Read state that a quorum confirmed as current.

        :param query: listed in docs/reference/command-line.md.
        :param total_s: longest time for all tries together.
        :param arguments: the query's arguments.
        :return: the answer's JSON object, or a refusal.
        """
        request = control_pb2.ReadRequest(query=query, arguments=msgspec.msgpack.encode(arguments))
        reply = await self._call("Read", request, TRY_S, total_s)
        if isinstance(reply, Refusal):
            return reply
        return json.loads(reply.answer)

    async def renew(self, request: control_pb2.RenewRequest) -> control_pb2.RenewReply | Refusal:
        """
        Renew an entry's lease.

        :param request: the renewal; the caller counts the lease from before this call.
        :return: the leader's answer, or a refusal.
        """
        hold_s = request.hold_s
        return await self._call("Renew", request, hold_s + RENEW_TRY_S, hold_s + RENEW_TOTAL_S)

    async def _call(self, method: str, request: Any, try_s: float, total_s: float) -> Any:
        end = boot_now() + total_s
        sent = False
        detail = "no control daemon answered"
        while True:
            left = end - boot_now()
            if left <= 0.0:
                return self._refuse(sent, detail)
            address = self._next_address()
            attempt = await self._try(address, method, request, min(try_s, left))
            sent = sent or attempt.sent
            reply = attempt.reply
            if reply is None:
                await self._pause(attempt.why, end)
                continue
            if reply.status == control_pb2.OK:
                self._leader_address = address
                return reply
            detail = reply.detail or detail
            if reply.status == control_pb2.INVALID:
                return Refusal(Reason.BAD_REQUEST, True, None, reply.detail)
            if reply.status == control_pb2.UNKNOWN:
                # Answered by the leader: the command is on its way or waits for the entries.
                sent = True
                await self._pause(Reason.IN_PROGRESS, end)
                continue
            self._follow(reply.leader_hint, address)
            await self._pause(Reason.NO_LEADER, end)

    async def _try(self, address: str, method: str, request: Any, timeout_s: float) -> Attempt:
        start = boot_now()
        if not await self._channels.connect(address, timeout_s):
            self._give_up(address)
            return Attempt(None)
        try:
            call = getattr(self._channels.stub(address), method)
            left_s = max(MIN_TIMEOUT_S, timeout_s - (boot_now() - start))
            return Attempt(await call(request, timeout=left_s))
        except asyncio.CancelledError:
            if is_task_cancelled():
                raise
            # Another call failed, and the channel was closed under this one.
            return Attempt(None, Reason.NO_LEADER, sent=True)
        except grpc.aio.AioRpcError as error:
            if error.code() == grpc.StatusCode.DEADLINE_EXCEEDED:
                self._give_up(address)
                self._channels.replace(address)
                return Attempt(None, Reason.TIMEOUT, sent=True)
            self._forget_leader(address)
            # grpc does not tell whether bytes left before the connection broke.
            return Attempt(None, Reason.NO_LEADER, sent=True)

    def _give_up(self, address: str) -> None:
        """Ask the other replicas first for a while."""
        self._forget_leader(address)
        self._suspect_until_by_address[address] = boot_now() + SUSPECT_S

    def _next_address(self) -> str:
        if self._leader_address is not None:
            return self._leader_address
        addresses = list(self.address_by_daemon.values())
        now = boot_now()
        for _ in addresses:
            self._rotation = (self._rotation + 1) % len(addresses)
            address = addresses[self._rotation]
            if self._suspect_until_by_address.get(address, 0.0) <= now:
                return address
        return addresses[self._rotation]

    def _follow(self, hint: str, address: str) -> None:
        self._forget_leader(address)
        hinted = self.address_by_daemon.get(hint)
        if hinted is None or hinted == address:
            return
        if self._suspect_until_by_address.get(hinted, 0.0) > boot_now():
            return
        self._leader_address = hinted

    def _forget_leader(self, address: str) -> None:
        if self._leader_address == address:
            self._leader_address = None

    async def _pause(self, why: Reason, end: float) -> None:
        if self._counters is not None:
            self._counters.retried(why)
        # Two replicas may name each other for a moment, so following a hint takes a pause as well.
        hinted = self._leader_address is not None and why is Reason.NO_LEADER
        pause_s = HINT_PAUSE_S if hinted else RETRY_PAUSE_S
        await asyncio.sleep(min(pause_s, max(0.0, end - boot_now())))

    def _refuse(self, sent: bool, detail: str) -> Refusal:
        if self._counters is not None:
            self._counters.refused(Reason.NO_LEADER)
        return Refusal(Reason.NO_LEADER, not sent, RETRY_AFTER_S, detail)


__all__ = ["ControlClient"]
