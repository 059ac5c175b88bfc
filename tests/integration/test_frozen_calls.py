"""
A VM that stood still goes on calling the other daemons.

An entry is frozen shortly after one of its calls to the leading store got no answer. That call left
its channel, which is closed 1 s later, and the call for work that was open on it has a deadline of
1 s: when the VM wakes, both are due at once. Where the closing came first, gRPC cancelled the call
and the entry's loop that takes work ended with it, silently and for good. Seen with real processes:
in one of 20 freezes the entry was gone from the runners and was still gone 13 s later, alive and
refusing with `no_leader`. Of 20 calls that were frozen like this, 13 raised CancelledError.
"""

from __future__ import annotations

import asyncio
import os
import signal

from ibisspring_core.messages.directory import Renew
from ibisspring_core.messages.peers import PEER_MESSAGES
from ibisspring_core.peer_rpc import STOP_GRACE_S, PeerServer
from integration.lone_caller import FREEZE_ME
from integration.processes import REPOSITORY, free_address, python_module

FREEZES = 8


async def silent_server(address: str) -> PeerServer:
    """Listen and answer no renewal."""

    async def never(renew: Renew) -> Renew:
        return await asyncio.get_running_loop().create_future()

    server = PeerServer(address, PEER_MESSAGES)
    server.answer(Renew, never)
    await server.start(None)
    return server


async def test_a_call_that_slept_past_its_end_is_refused_not_cancelled() -> None:
    address = free_address()
    server = await silent_server(address)
    arguments = python_module("integration.lone_caller", address, str(FREEZES))
    environment = {**os.environ, "PYTHONPATH": f"{REPOSITORY / 'tests'}:{REPOSITORY}"}
    caller = await asyncio.create_subprocess_exec(
        *arguments, stdout=asyncio.subprocess.PIPE, env=environment
    )
    ends = []
    try:
        while line := (await caller.stdout.readline()).decode().strip():
            if line != FREEZE_ME:
                ends.append(line)
                continue
            caller.send_signal(signal.SIGSTOP)
            await asyncio.sleep(1.5 * STOP_GRACE_S)
            caller.send_signal(signal.SIGCONT)
    finally:
        if caller.returncode is None:
            caller.kill()
        await caller.wait()
        await server.stop()

    assert ends == ["Refusal"] * FREEZES
