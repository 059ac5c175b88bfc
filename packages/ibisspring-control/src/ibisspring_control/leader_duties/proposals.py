"""Commits commands that the leader itself proposes, such as order intents and window closings."""

from __future__ import annotations

from typing import Any

import msgspec

from ibisspring_core.clock import wall_now
from ibisspring_core.errors import Refusal
from ibisspring_core.messages.codec import encode
from ibisspring_core.messages.commands import COMMANDS, RESULTS, Envelope


async def commit(consensus: Any, command: Any, request_id: str) -> Any | Refusal:
    """
    Commit one command through this replica.

    :param consensus: the service `consensus` of this replica.
    :param command: a command of `COMMANDS`.
    :param request_id: idempotency key; a retry after `MAY_HAVE_RUN` must use the same one.
    :return: the state machine's result, or a refusal if the command is not known to be committed.
    """
    envelope = Envelope(request_id, wall_now(), msgspec.Raw(COMMANDS.encode(command)))
    committed = await consensus.propose(encode(envelope))
    if isinstance(committed, Refusal):
        return committed
    return RESULTS.decode(committed.result)


__all__ = ["commit"]
