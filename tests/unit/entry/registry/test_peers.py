from __future__ import annotations

from itertools import combinations

from ibisspring_core.counters import Counters
from ibisspring_core.endpoint_table import EndpointTable
from ibisspring_core.pb import entry_peer_pb2
from ibisspring_entry.registry.peers import PeerExchange, initiates_exchange


def test_one_entry_of_each_pair_initiates_and_pairs_are_spread_evenly() -> None:
    names = [f"e{number}" for number in range(40)]
    pairs_by_entry = dict.fromkeys(names, 0)

    for first, second in combinations(names, 2):
        assert initiates_exchange(first, second) != initiates_exchange(second, first)
        pairs_by_entry[first if initiates_exchange(first, second) else second] += 1

    assert max(pairs_by_entry.values()) < 2 * 39 / 2


def test_a_restarted_peer_reports_that_it_lacks_records() -> None:
    # An entry restarts between two exchanges with a peer. If its reply did not report that the
    # digests differ, the peer would send only refreshes of records that the restarted entry lacks,
    # and that entry would refuse its callers because it knows no endpoints.
    restarted = PeerExchange("e2", "", EndpointTable(5.0))
    restarted._counters = Counters.from_config(None)

    reply = restarted.answer(entry_peer_pb2.ExchangeRequest(daemon="e1", digest=7))
    equal = restarted.answer(
        entry_peer_pb2.ExchangeRequest(daemon="e1", digest=EndpointTable(5.0).digest())
    )

    assert reply.differs
    assert not equal.differs
