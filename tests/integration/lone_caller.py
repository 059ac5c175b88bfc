"""Calls a daemon that never answers and prints how each call ended; see test_frozen_calls."""

from __future__ import annotations

import asyncio
import os
import sys

from ibisspring_core.counters import Counters
from ibisspring_core.messages.directory import Renew
from ibisspring_core.messages.peers import PEER_MESSAGES
from ibisspring_core.peer_rpc import STOP_GRACE_S, PeerClient

RENEW = Renew("10.0.0.1:1", "e1", "derby", "i", "entry")
SHORT_TIMEOUT_S = 0.1
READY_TO_FREEZE = "freeze me"


async def main(address: str, rounds: int) -> None:
    """
    Print in each round how a call ended whose deadline and channel both expired during a freeze.

    A second call over the same channel times out first, so that the client replaces the channel and
    closes it `STOP_GRACE_S` later. The process then prints `READY_TO_FREEZE`: the test freezes it
    until the first call's deadline and the closing of the channel have both passed.
    """
    client = PeerClient(PEER_MESSAGES, Counters.from_config(None))
    for _ in range(rounds):
        call = asyncio.create_task(client.call(address, RENEW, STOP_GRACE_S))
        await asyncio.sleep(SHORT_TIMEOUT_S / 2)
        await client.call(address, RENEW, SHORT_TIMEOUT_S)
        print(READY_TO_FREEZE, flush=True)
        await asyncio.wait([call])
        print("cancelled" if call.cancelled() else type(call.result()).__name__, flush=True)
    # Calls and channels that are still open end with the process.
    os._exit(0)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], int(sys.argv[2])))
