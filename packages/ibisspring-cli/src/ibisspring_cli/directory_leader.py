"""Calls of operators' commands to the directory's leader."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, NoReturn

from ibisspring_cli.session import (
    EXIT_CONFLICT,
    EXIT_REFUSED,
    EXIT_UNKNOWN,
    EXIT_UNREACHABLE,
    fail,
)
from ibisspring_core.counters import Counters
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.leader_client import LeaderClient
from ibisspring_core.messages.peers import PEER_MESSAGES
from ibisspring_core.peer_rpc import PeerClient

if TYPE_CHECKING:
    from ibisspring_cli.options import Options

# Time limit in seconds for the answer of one control daemon. The leader answers a change at the
# latest 2.5 s after its commit.
CALL_TIMEOUT_S = 4.0


def call_directory(
    options: Options, seeds: tuple[str, ...], message: Any, answer_type: type, changes: bool
) -> Any:
    """
    Call the directory's leader; print the error and exit unless it answers as expected.

    :param message: an idempotent message.
    :param answer_type: type of the expected answer.
    :param changes: whether the message may change anything, so that a lost answer leaves it open.
    """
    answer = asyncio.run(call_leader_of_directory(seeds, message, options.timeout_s))
    if isinstance(answer, Refusal):
        _fail_refused(options, seeds, changes, answer)
    if not isinstance(answer, answer_type):
        fail(options, EXIT_REFUSED, Reason.INTERNAL.value, f"unexpected answer {answer!r}")
    return answer


def _fail_refused(
    options: Options, seeds: tuple[str, ...], changes: bool, answer: Refusal
) -> NoReturn:
    if answer.reason is Reason.CONFLICT:
        fail(options, EXIT_CONFLICT, answer.reason.value, answer.detail)
    if answer.reason is Reason.NO_LEADER and not changes:
        tried = f"no control leader answered; tried {', '.join(seeds)}"
        fail(options, EXIT_UNREACHABLE, answer.reason.value, tried)
    code = EXIT_REFUSED if answer.not_run else EXIT_UNKNOWN
    detail = f"{answer.detail}; repeat the command, which does nothing twice"
    fail(options, code, answer.reason.value, detail)


async def call_leader_of_directory(seeds: tuple[str, ...], message: Any, timeout_s: float) -> Any:
    """
    Call the directory's leader, in a running event loop.

    :param message: an idempotent message.
    :param timeout_s: time limit of the whole call, in seconds.
    :return: the leader's answer; a `Refusal` with NO_LEADER if none came.
    """
    client = PeerClient(PEER_MESSAGES, Counters.from_config(None))
    try:
        leader = LeaderClient(client, lambda: seeds)
        return await leader.call(message, timeout_s, CALL_TIMEOUT_S)
    finally:
        await client.stop()


__all__ = ["call_directory", "call_leader_of_directory"]
