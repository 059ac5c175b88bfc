from __future__ import annotations

from itertools import combinations

from ibisspring_core.counters import Counters
from ibisspring_core.endpoint_table import EndpointTable
from ibisspring_core.pb import entry_peer_pb2
from ibisspring_entry.registry.peers import PeerExchange, begins_exchange


def test_one_of_each_pair_begins_and_no_entry_carries_most_pairs() -> None:
    names = [f"e{number}" for number in range(40)]
    begun = dict.fromkeys(names, 0)

    for first, second in combinations(names, 2):
        assert begins_exchange(first, second) != begins_exchange(second, first)
        begun[first if begins_exchange(first, second) else second] += 1

    assert max(begun.values()) < 2 * 39 / 2


def test_peer_that_started_again_says_that_it_lacks_records() -> None:
    # An entry starts again between two exchanges. The other goes on sending it refreshes of records
    # that it does not know, and its callers are refused for want of endpoints.
    restarted = PeerExchange("e2", "", EndpointTable(5.0))
    restarted._counters = Counters.from_config(None)

    reply = restarted.answer(entry_peer_pb2.ExchangeRequest(daemon="e1", digest=7))
    equal = restarted.answer(
        entry_peer_pb2.ExchangeRequest(daemon="e1", digest=EndpointTable(5.0).digest())
    )

    assert reply.differs
    assert not equal.differs
