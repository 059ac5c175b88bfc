"""The gRPC service `Control`: commands, queries and lease renewals of entries and operators."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import msgspec

from ibisspring_control.rpc.queries import QUERY_BY_NAME, QueryContext
from ibisspring_control.state.machine import KEYED_BY_REQUEST_ID
from ibisspring_core.clock import wall_now
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.messages.codec import encode
from ibisspring_core.messages.commands import COMMANDS, RESULTS, Done, Envelope, RulesApplied
from ibisspring_core.pb import control_pb2, control_pb2_grpc

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel

# Seconds for which one call waits until every entry acts on an operator's change. Afterwards the
# call is answered with `UNKNOWN`, and the client repeats it with the same request id. With a longer
# wait, the client would treat the connection as unresponsive.
IN_FORCE_WAIT_S = 1.0
MAX_REQUEST_ID_CHARS = 200


class ControlService(control_pb2_grpc.ControlServicer):
    """Answers requests on the leader; other replicas return the id of the leader that they know."""

    def __init__(self, consensus: Any, state: Any, leases: Any, counters: Any) -> None:
        self._consensus = consensus
        self._state = state
        self._leases = leases
        self._counters = counters

    @classmethod
    def from_kernel(cls, kernel: Kernel) -> ControlService:
        """
        Build the service for the gRPC server from the services of this daemon.

        :param kernel: registry of the daemon's services; provides consensus, state, entry_leases
            and counters.
        """
        return cls(
            kernel.find("consensus"),
            kernel.find("state"),
            kernel.find("entry_leases"),
            kernel.find("counters"),
        )

    async def Propose(  # noqa: N802
        self, request: control_pb2.ProposeRequest, context: Any
    ) -> control_pb2.ProposeReply:
        """Commit one command; acknowledge an operator's change once every live entry acts on it."""
        command = _parse_command(request)
        if isinstance(command, Refusal):
            return control_pb2.ProposeReply(status=control_pb2.INVALID, detail=command.detail)
        envelope = Envelope(request.request_id, wall_now(), msgspec.Raw(request.command))
        committed = await self._consensus.propose(encode(envelope))
        if isinstance(committed, Refusal):
            return self._refused_reply(committed)
        index = committed.index
        changed = isinstance(RESULTS.decode(committed.result), RulesApplied | Done)
        # Operators rely on the answer. If a drain were acknowledged before every entry received it,
        # requests that start after the answer could still be sent to the draining endpoint.
        if isinstance(command, KEYED_BY_REQUEST_ID) and changed:
            # A resent command is not applied again: its result is that of the first application.
            # The log index of the first application is therefore the one to wait for.
            index = self._state.first_index_of(request.request_id) or index
            in_force = await self._leases.wait_in_force(index, IN_FORCE_WAIT_S)
            if isinstance(in_force, Refusal):
                return control_pb2.ProposeReply(status=control_pb2.UNKNOWN, detail=in_force.detail)
        return control_pb2.ProposeReply(status=control_pb2.OK, result=committed.result, index=index)

    async def Read(  # noqa: N802
        self, request: control_pb2.ReadRequest, context: Any
    ) -> control_pb2.ReadReply:
        """Answer a query from the state, after a quorum confirmed this replica's leadership."""
        query = QUERY_BY_NAME.get(request.query)
        if query is None:
            known = ", ".join(sorted(QUERY_BY_NAME))
            detail = f"unknown query {request.query!r}; known: {known}"
            return control_pb2.ReadReply(status=control_pb2.INVALID, detail=detail)
        confirmed = await self._consensus.confirm_read()
        if isinstance(confirmed, Refusal):
            hint = self._consensus.leader_hint or ""
            return control_pb2.ReadReply(
                status=control_pb2.NOT_LEADER, leader_hint=hint, detail=confirmed.detail
            )
        try:
            arguments = msgspec.msgpack.decode(request.arguments, type=dict[str, Any])
        except msgspec.DecodeError as error:
            return control_pb2.ReadReply(status=control_pb2.INVALID, detail=str(error))
        answer = query(QueryContext(self._consensus, self._state, self._leases), arguments)
        return control_pb2.ReadReply(status=control_pb2.OK, answer=json.dumps(answer).encode())

    async def Renew(  # noqa: N802
        self, request: control_pb2.RenewRequest, context: Any
    ) -> control_pb2.RenewReply:
        """Renew an entry's lease; the answer may be held until the view for entries changes."""
        return await self._leases.renew(request)

    def _refused_reply(self, refusal: Refusal) -> control_pb2.ProposeReply:
        self._counters.refused(refusal.reason)
        if not refusal.not_run:
            return control_pb2.ProposeReply(status=control_pb2.UNKNOWN, detail=refusal.detail)
        return control_pb2.ProposeReply(
            status=control_pb2.NOT_LEADER,
            leader_hint=self._consensus.leader_hint or "",
            detail=refusal.detail,
        )


def _parse_command(request: control_pb2.ProposeRequest) -> Any:
    if not request.request_id or len(request.request_id) > MAX_REQUEST_ID_CHARS:
        detail = f"a request id has 1 to {MAX_REQUEST_ID_CHARS} characters"
        return Refusal(Reason.BAD_REQUEST, True, None, detail)
    try:
        return COMMANDS.decode(request.command)
    except msgspec.DecodeError as error:
        return Refusal(Reason.BAD_REQUEST, True, None, f"not a command: {error}")


__all__ = ["ControlService"]
