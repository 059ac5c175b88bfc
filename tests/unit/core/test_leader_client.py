from __future__ import annotations

from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.leader_client import LeaderClient, NotLeader

DAEMONS = tuple(f"10.0.0.{number}:1" for number in range(30))


class _Peers:
    """Stand-in for a peer client: one daemon leads, the others know nothing."""

    def __init__(self, leader: str) -> None:
        self.leader = leader
        self.asked: list[str] = []

    async def call(self, address: str, message: object, timeout_s: float) -> object:
        self.asked.append(address)
        return "answer" if address == self.leader else NotLeader()


async def test_news_of_another_leader_is_followed_at_once() -> None:
    # The jobs' leader dies and control names the next one: asked in turn, it would be found among
    # thirty stores a tenth of a second at a time, and no item would run meanwhile.
    peers = _Peers(DAEMONS[0])
    known = [DAEMONS]
    client = LeaderClient(peers, lambda: known[0])
    assert await client.call("work", 1.0, 1.0) == "answer"

    peers.leader = DAEMONS[20]
    known[0] = (DAEMONS[20], *DAEMONS)
    peers.asked.clear()

    assert await client.call("work", 1.0, 1.0) == "answer"
    assert peers.asked == [DAEMONS[0], DAEMONS[20]]


async def test_a_first_address_that_does_not_lead_keeps_no_other_from_being_asked() -> None:
    peers = _Peers(DAEMONS[2])
    client = LeaderClient(peers, lambda: DAEMONS[:3])

    assert await client.call("work", 2.0, 1.0) == "answer"
    assert peers.asked[-1] == DAEMONS[2]


async def test_no_leader_is_told_in_time() -> None:
    client = LeaderClient(_Peers("nobody"), lambda: DAEMONS[:3])

    answer = await client.call("work", 0.3, 1.0)

    assert isinstance(answer, Refusal)
    assert answer.reason is Reason.NO_LEADER
