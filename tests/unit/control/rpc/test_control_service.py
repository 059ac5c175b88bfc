from __future__ import annotations

import json

import msgspec
import pytest

from ibisspring_control.rpc import control_service
from ibisspring_control.rpc.control_service import ControlService
from ibisspring_control.state import StateMachine
from ibisspring_core.counters import Counters
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.messages.commands import (
    COMMANDS,
    RESULTS,
    ApplyRules,
    DrainEndpoint,
    RulesApplied,
)
from ibisspring_core.pb import control_pb2
from ibisspring_core.request_ids import new_request_id

RULES = "client_account forge rate 1/s weight 1  # asked: archive desk, ticket 118\n"


class _Committed:
    def __init__(self, index: int, result: bytes) -> None:
        self.index = index
        self.result = result


class _Consensus:
    """Stand-in for the consensus service: applies each command at once, or refuses it."""

    leader_hint = "c2"
    term = 3

    def __init__(self, state: StateMachine) -> None:
        self.state = state
        self.refusal: Refusal | None = None

    async def propose(self, data: bytes) -> _Committed | Refusal:
        if self.refusal is not None:
            return self.refusal
        index = self.state.applied_index + 1
        return _Committed(index, self.state.apply(index, data))

    async def confirm_read(self) -> int | Refusal:
        return self.refusal or self.state.applied_index


class _Leases:
    """Stand-in for the entry leases: every entry acts on the view of log index `in_force`."""

    endpoint_by_id: dict = {}

    def __init__(self) -> None:
        self.in_force = 0

    def live_leases(self) -> tuple:
        return ()

    async def wait_in_force(self, index: int, wait_limit_s: float) -> int | Refusal:
        return index if index <= self.in_force else Refusal(Reason.IN_PROGRESS, False)


class _Service:
    def __init__(self) -> None:
        self.state = StateMachine.empty()
        self.consensus = _Consensus(self.state)
        self.leases = _Leases()
        self.service = ControlService(
            self.consensus, self.state, self.leases, Counters.from_config(None)
        )

    async def apply(self, request_id: str, base: int = 0) -> control_pb2.ProposeReply:
        return await self.propose(ApplyRules(base, RULES, "ana"), request_id)

    async def propose(self, command, request_id: str) -> control_pb2.ProposeReply:
        request = control_pb2.ProposeRequest(
            request_id=request_id, command=COMMANDS.encode(command)
        )
        return await self.service.Propose(request, None)

    async def read(self, query: str, **arguments) -> control_pb2.ReadReply:
        data = msgspec.msgpack.encode(arguments)
        return await self.service.Read(control_pb2.ReadRequest(query=query, arguments=data), None)


@pytest.fixture
def served() -> _Service:
    return _Service()


async def test_an_apply_is_acknowledged_once_its_first_index_is_in_force(served) -> None:
    """
    An apply of rules is committed while an entry still acts on the old rules. The command line
    repeats the request with the same request id, and the repetition gets a higher log index.

    If the service waited until the entries act on the log index of the repetition, the wait would
    never end, because no view has that index.
    """
    request_id = new_request_id()
    assert (await served.apply(request_id)).status == control_pb2.UNKNOWN
    assert (await served.apply(request_id)).status == control_pb2.UNKNOWN
    served.leases.in_force = 1

    reply = await served.apply(request_id)

    assert (reply.status, reply.index) == (control_pb2.OK, 1)
    assert RESULTS.decode(reply.result) == RulesApplied(1)


async def test_a_conflicting_apply_is_answered_at_once(served) -> None:
    """
    Two operators apply rules that are based on the same version; the second one gets a conflict.

    The refused command changes nothing, so no entry will ever act on its log index. If the service
    waited for that index, the second operator would get `UNKNOWN` instead of the conflict.
    """
    served.leases.in_force = 1
    await served.apply(new_request_id())

    reply = await served.apply(new_request_id(), base=0)

    assert reply.status == control_pb2.OK
    assert not isinstance(RESULTS.decode(reply.result), RulesApplied)


@pytest.mark.parametrize("cancel", [False, True])
async def test_a_drain_is_acknowledged_once_every_entry_acts_on_it(served, cancel):
    """
    A drain is committed, but an entry has not renewed its lease since and does not know the drain.

    If the drain were acknowledged before this entry acts on it, a generation that the operator
    starts after the acknowledgement could run on the drained engine.
    """
    request_id = new_request_id()
    drain = DrainEndpoint("engine-1", "ana", cancel)
    assert (await served.propose(drain, request_id)).status == control_pb2.UNKNOWN
    served.leases.in_force = 1

    reply = await served.propose(drain, request_id)

    assert (reply.status, reply.index) == (control_pb2.OK, 1)


@pytest.mark.parametrize(
    ("not_run", "status"), [(True, control_pb2.NOT_LEADER), (False, control_pb2.UNKNOWN)]
)
async def test_the_status_of_a_refused_proposal_shows_whether_it_may_commit(
    served, not_run, status
):
    served.consensus.refusal = Refusal(Reason.NO_LEADER, not_run)

    assert (await served.apply(new_request_id())).status == status


async def test_an_undecodable_command_is_invalid_and_not_logged(served) -> None:
    request = control_pb2.ProposeRequest(request_id="r", command=b"\xc1")

    assert (await served.service.Propose(request, None)).status == control_pb2.INVALID
    assert served.state.applied_index == 0


@pytest.mark.parametrize("query", sorted(control_service.QUERY_BY_NAME))
async def test_every_query_answers_an_empty_state(served, query) -> None:
    reply = await served.read(query)

    assert reply.status == control_pb2.OK
    assert isinstance(json.loads(reply.answer), dict)


async def test_a_replica_without_its_quorum_answers_no_query(served) -> None:
    served.consensus.refusal = Refusal(Reason.NO_LEADER, True)

    reply = await served.read("status")

    assert (reply.status, reply.leader_hint) == (control_pb2.NOT_LEADER, "c2")
    assert (await served.read("nonsense")).status == control_pb2.INVALID
