"""Sends messages of operators to the leader of the jobs' log, which is one of the stores."""

from __future__ import annotations

import asyncio
from typing import Any

from ibisspring_core.counters import Counters
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.leader_client import LeaderClient
from ibisspring_core.messages.peers import PEER_MESSAGES
from ibisspring_core.messages.status import DirectoryStatus, ReadDirectoryStatus
from ibisspring_core.peer_rpc import PeerClient

# Time limit in seconds for the answer of one control daemon.
CONTROL_CALL_TIMEOUT_S = 1.0
# Time limit in seconds for the answer of one store, which answers a hold 2 s after its commit at
# the latest.
STORE_CALL_TIMEOUT_S = 4.0


def stores_of(directory: DirectoryStatus) -> tuple[str, ...]:
    """Return the addresses of the stores, that of the leader of the jobs' log first."""
    stores = [daemon for daemon in directory.daemons if daemon.role == "store"]
    stores.sort(key=lambda store: not store.leads_jobs)
    return tuple(store.address for store in stores)


def call_jobs_leader(seeds: tuple[str, ...], message: Any, timeout_s: float) -> Any:
    """
    Find the stores through the control daemons, and call the leader of the jobs' log.

    :param message: an idempotent message, as it may be sent more than once.
    :param timeout_s: time limit of the whole call, in seconds.
    :return: the leader's answer; a `Refusal` with NO_LEADER if none came. `not_run` of the refusal
        says that the message was sent to no store.
    """
    return asyncio.run(call_leader_of_jobs(seeds, message, timeout_s))


async def call_leader_of_jobs(seeds: tuple[str, ...], message: Any, timeout_s: float) -> Any:
    """Do the same as `call_jobs_leader`, in a running event loop."""
    client = PeerClient(PEER_MESSAGES, Counters.from_config(None))
    try:
        control = LeaderClient(client, lambda: seeds)
        directory = await control.call(ReadDirectoryStatus(), timeout_s, CONTROL_CALL_TIMEOUT_S)
        if not isinstance(directory, DirectoryStatus):
            tried = f"no control leader answered; tried {', '.join(seeds)}"
            return Refusal(Reason.NO_LEADER, True, None, tried)
        addresses = stores_of(directory)
        if not addresses:
            return Refusal(Reason.NO_LEADER, True, None, "no store is known")
        jobs = LeaderClient(client, lambda: addresses)
        return await jobs.call(message, timeout_s, STORE_CALL_TIMEOUT_S)
    finally:
        await client.stop()


__all__ = ["call_jobs_leader", "call_leader_of_jobs", "stores_of"]
