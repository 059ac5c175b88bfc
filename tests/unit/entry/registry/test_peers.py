from __future__ import annotations

from itertools import combinations

from ibisspring_entry.registry.peers import begins_exchange


def test_one_of_each_pair_begins_and_no_entry_carries_most_pairs() -> None:
    names = [f"e{number}" for number in range(40)]
    begun = dict.fromkeys(names, 0)

    for first, second in combinations(names, 2):
        assert begins_exchange(first, second) != begins_exchange(second, first)
        begun[first if begins_exchange(first, second) else second] += 1

    assert max(begun.values()) < 2 * 39 / 2
