from __future__ import annotations

from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.leader_client import LeaderClient, NotLeader

DAEMONS = tuple(f"10.0.0.{number}:1" for number in range(30))


class _Peers:
    """Fake peer client: one daemon is the leader, the others return no hint."""

    def __init__(self, leader: str) -> None:
        self.leader = leader
        self.called: list[str] = []

    async def call(self, address: str, message: object, timeout_s: float) -> object:
        self.called.append(address)
        return "answer" if address == self.leader else NotLeader()


async def test_newly_reported_leader_is_called_first() -> None:
    # The jobs' leader dies and the directory reports a new leader. If all thirty stores were called
    # in turn, each would cost a tenth of a second until the leader is found, during which no item
    # runs.
    peers = _Peers(DAEMONS[0])
    addresses = [DAEMONS]
    client = LeaderClient(peers, lambda: addresses[0])
    assert await client.call("work", 1.0, 1.0) == "answer"

    peers.leader = DAEMONS[20]
    addresses[0] = (DAEMONS[20], *DAEMONS)
    peers.called.clear()

    assert await client.call("work", 1.0, 1.0) == "answer"
    assert peers.called == [DAEMONS[0], DAEMONS[20]]


async def test_other_addresses_are_called_when_the_first_is_not_the_leader() -> None:
    peers = _Peers(DAEMONS[2])
    client = LeaderClient(peers, lambda: DAEMONS[:3])

    assert await client.call("work", 2.0, 1.0) == "answer"
    assert peers.called[-1] == DAEMONS[2]


async def test_missing_leader_is_a_refusal_after_the_time_limit() -> None:
    client = LeaderClient(_Peers("nobody"), lambda: DAEMONS[:3])

    answer = await client.call("work", 0.3, 1.0)

    assert isinstance(answer, Refusal)
    assert answer.reason is Reason.NO_LEADER
