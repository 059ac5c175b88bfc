"""Finds the leader of a replicated log and calls it."""

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
    The daemon that was called does not lead, or cannot be sure that it still does.

    :param hint: address of the leader as it knows it; empty for none.
    """

    hint: str = ""


class LeaderClient:
    """Remembers who led last; every message that goes through it may arrive more than once."""

    def __init__(self, client: PeerClient, addresses: Addresses) -> None:
        """
        Build a client.

        :param addresses: gives where the leader may be, the likeliest first.
        """
        self._client = client
        self._addresses = addresses
        self._leader = ""
        self._next = 0
        self._likeliest = ""

    async def call(self, message: Any, timeout_s: float, one_call_s: float) -> Any:
        """
        Call the leader, looking for it where it is not known.

        :param message: a message that may run twice.
        :param timeout_s: seconds in all.
        :param one_call_s: longest wait for one daemon.
        :return: the leader's answer; NO_LEADER where none was found in time.
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
            answer = await self._client.call(address, message, min(one_call_s, left_s))
            if isinstance(answer, NotLeader):
                # A follower that still names a dead leader would send us back to it for ever.
                known = answer.hint if answer.hint != address else ""
                self._leader = known if address != self._leader or known else ""
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
        if addresses[0] != self._likeliest:
            # News of another leader: in turn with thirty others it would be asked seconds later.
            self._likeliest = addresses[0]
            return addresses[0]
        self._next += 1
        return addresses[self._next % len(addresses)]


__all__ = ["LeaderClient", "NotLeader"]
