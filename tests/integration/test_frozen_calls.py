"""
A VM that was frozen continues to call the other daemons.

An entry is frozen shortly after one of its calls to the leader store timed out. The entry abandons
the channel of such a call and closes it 1 s later; the call for work that is open on that channel
has a deadline of 1 s. When the VM continues, both are due at once. If the channel was closed before
the deadline was handled, gRPC cancelled the call, and the cancellation ended the entry's loop that
fetches work, without a log line and permanently. With real processes, one of 20 freezes removed the
entry from the runners; 13 s later it was still missing, although its process ran and refused
requests with `no_leader`. Of 20 calls that were frozen in this way, 13 raised CancelledError.
"""

from __future__ import annotations

import asyncio
import os
import signal

from ibisspring_core.messages.directory import Renew
from ibisspring_core.messages.peers import PEER_MESSAGES
from ibisspring_core.peer_rpc import STOP_GRACE_S, PeerServer
from integration.lone_caller import READY_TO_FREEZE
from integration.processes import REPOSITORY, free_address, python_module

FREEZES = 8


async def silent_server(address: str) -> PeerServer:
    """Start a peer server that never answers a renewal."""

    async def never_answer(renew: Renew) -> Renew:
        return await asyncio.get_running_loop().create_future()

    server = PeerServer(address, PEER_MESSAGES)
    server.register_handler(Renew, never_answer)
    await server.start(None)
    return server


async def test_a_call_whose_deadline_passed_during_a_freeze_is_refused_not_cancelled() -> None:
    address = free_address()
    server = await silent_server(address)
    arguments = python_module("integration.lone_caller", address, str(FREEZES))
    environment = {**os.environ, "PYTHONPATH": f"{REPOSITORY / 'tests'}:{REPOSITORY}"}
    caller = await asyncio.create_subprocess_exec(
        *arguments, stdout=asyncio.subprocess.PIPE, env=environment
    )
    outcomes = []
    try:
        while line := (await caller.stdout.readline()).decode().strip():
            if line != READY_TO_FREEZE:
                outcomes.append(line)
                continue
            caller.send_signal(signal.SIGSTOP)
            await asyncio.sleep(1.5 * STOP_GRACE_S)
            caller.send_signal(signal.SIGCONT)
    finally:
        if caller.returncode is None:
            caller.kill()
        await caller.wait()
        await server.stop()

    assert outcomes == ["Refusal"] * FREEZES
