"""Calls the leader of a replicated log: finds the leader and follows redirects."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Reason, Refusal

if TYPE_CHECKING:
    from ibisspring_core.peer_rpc import PeerClient

RETRY_PAUSE_S = 0.1

Addresses = Callable[[], tuple[str, ...]]


@dataclass(frozen=True)
class NotLeader:
    """
    Reply of a daemon that is not the leader, or cannot confirm that it still is.

    :param hint: IP:port of the presumed leader; empty if unknown.
    """

    hint: str = ""


class LeaderClient:
    """
    Calls the leader of one replicated log and remembers its address.

    Messages are sent again after a failure, so each one may be delivered more than once.
    """

    def __init__(self, client: PeerClient, addresses: Addresses) -> None:
        """
        Build a client that does not know the leader's address yet.

        :param client: sends the calls to the daemons of the log.
        :param addresses: returns the addresses at which the leader may be, the likeliest first.
        """
        self._client = client
        self._addresses = addresses
        self._leader = ""
        self._rotation = 0
        self._last_first = ""

    async def call(self, message: Any, timeout_s: float, call_timeout_s: float) -> Any:
        """
        Call the leader, and search for it if its address is unknown.

        :param message: an idempotent message, as it may be sent more than once.
        :param timeout_s: time limit of all tries together, in seconds.
        :param call_timeout_s: time limit of a call to one daemon, in seconds.
        :return: the leader's answer; a `Refusal` with NO_LEADER if no leader answered in time.
        """
        end_s = boot_now() + timeout_s
        while True:
            left_s = end_s - boot_now()
            if left_s <= 0:
                return Refusal(Reason.NO_LEADER, False, RETRY_PAUSE_S, "no leader answered")
            address = self._leader or self._pick()
            if not address:
                await asyncio.sleep(min(RETRY_PAUSE_S, left_s))
                continue
            answer = await self._client.call(address, message, min(call_timeout_s, left_s))
            if isinstance(answer, NotLeader):
                # A follower whose hint is still a dead leader would redirect the call to it without
                # end.
                hint = answer.hint if answer.hint != address else ""
                self._leader = hint if address != self._leader or hint else ""
                if not self._leader:
                    await asyncio.sleep(RETRY_PAUSE_S)
                continue
            if isinstance(answer, Refusal) and answer.reason is Reason.ENDPOINT_SILENT:
                self._leader = ""
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            self._leader = address
            return answer

    def _pick(self) -> str:
        addresses = self._addresses()
        if not addresses:
            return ""
        if addresses[0] != self._last_first:
            # The directory reported a new leader, which is called next. In rotation with thirty
            # other daemons, the new leader would be called only seconds later.
            self._last_first = addresses[0]
            return addresses[0]
        self._rotation += 1
        return addresses[self._rotation % len(addresses)]


__all__ = ["LeaderClient", "NotLeader"]
