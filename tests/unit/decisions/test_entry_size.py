from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ibisspring_decisions.entry_size import (
    CALM_S,
    MAX_STREAMS,
    EntrySize,
    EntryUsage,
    StreamLimit,
    stream_capacity,
)

SMALL = EntrySize(cores=0.387, memory_mb=160.0, descriptors=1638, link_mbps=22.5)
LARGE = EntrySize(cores=1.29, memory_mb=440.0, descriptors=10250, link_mbps=75.0)
TICK_S = 0.2
EARLIER_STREAMS = 48

SIZES = st.builds(
    EntrySize,
    cores=st.floats(0.0, 8.0),
    memory_mb=st.floats(0.0, 4000.0),
    descriptors=st.integers(0, 20000),
    link_mbps=st.floats(0.0, 10000.0),
)


def test_a_large_entry_bears_more_streams_than_a_small_one() -> None:
    assert 0 < 3 * stream_capacity(SMALL) <= stream_capacity(LARGE)


@pytest.mark.parametrize(
    "scarce", [{"cores": 0.05}, {"memory_mb": 45.0}, {"descriptors": 210}, {"link_mbps": 3.0}]
)
def test_the_scarcest_limit_counts(scarce) -> None:
    assert stream_capacity(replace(LARGE, **scarce)) < 10


@given(size=SIZES, other=SIZES)
def test_an_entry_with_more_of_everything_bears_no_fewer_streams(size, other) -> None:
    def more(first: float, second: float) -> float:
        # An unknown limit does not bind.
        return 0 if not first or not second else max(first, second)

    larger = EntrySize(
        more(size.cores, other.cores),
        more(size.memory_mb, other.memory_mb),
        more(size.descriptors, other.descriptors),
        more(size.link_mbps, other.link_mbps),
    )

    assert 1 <= stream_capacity(size) <= stream_capacity(larger) <= MAX_STREAMS


USAGES = st.lists(
    st.builds(
        EntryUsage,
        streams=st.integers(0, 120),
        memory_mb=st.floats(0.0, 200.0),
        descriptors=st.integers(0, 2000),
        late_s=st.floats(0.0, 1.0),
    ),
    max_size=40,
)


@given(usages=USAGES)
def test_never_more_is_given_back_than_there_is_and_never_more_accepted_than_fits(usages) -> None:
    limit = StreamLimit(SMALL)
    for number, usage in enumerate(usages):
        given_back = limit.measure(usage, number * TICK_S)

        assert 0 <= given_back <= usage.streams
        assert 0 <= limit.free(usage.streams) <= max(0, limit.capacity - usage.streams)
        assert not given_back or limit.free(usage.streams) == 0


def peak_memory_mb(limit: StreamLimit | None) -> float:
    """
    Offer runs whose texts and prompts take far more memory than usual; return the peak.

    A run takes 4 MB at its end, and is offered at each tick.
    """
    run_memory_mb: list[float] = []
    peak = 0.0
    for tick in range(400):
        run_memory_mb = [min(4.0, memory + 0.1) for memory in run_memory_mb]
        used = 40.0 + sum(run_memory_mb)
        peak = max(peak, used)
        if limit is None:
            accepts = len(run_memory_mb) < EARLIER_STREAMS
        else:
            given_back = limit.measure(EntryUsage(len(run_memory_mb), used), tick * TICK_S)
            run_memory_mb = run_memory_mb[: len(run_memory_mb) - given_back]
            accepts = limit.free(len(run_memory_mb)) > 0
        if accepts:
            run_memory_mb.append(0.1)
    return peak


def test_a_small_entry_is_not_killed_for_its_memory() -> None:
    # An entry of 160 MB gets runs with long texts. With the same number of streams as on every
    # other entry it exceeds its memory and is killed, with all its runs.
    assert peak_memory_mb(None) > SMALL.memory_mb
    assert peak_memory_mb(StreamLimit(replace(LARGE, memory_mb=160.0))) < SMALL.memory_mb


def test_runs_are_given_back_in_parts_whose_effect_is_measured() -> None:
    # Memory falls only when the runs have ended. Giving runs back at each measurement would empty
    # the entry meanwhile.
    limit = StreamLimit(SMALL)
    full = EntryUsage(20, 0.95 * SMALL.memory_mb)
    given_back = [limit.measure(full, number * TICK_S) for number in range(7)]

    assert given_back == [5, 0, 0, 0, 0, 5, 0]


def test_an_entry_that_turns_slow_accepts_no_runs_within_a_second() -> None:
    limit = StreamLimit(SMALL)
    late = EntryUsage(5, 60.0, 100, 0.12)

    limit.measure(EntryUsage(5, 60.0, 100, 0.001), 0.0)
    limit.measure(late, TICK_S)
    assert limit.free(5) > 0
    limit.measure(late, 2 * TICK_S)

    assert (limit.near, limit.free(5)) == ("processor", 0)


def test_one_long_step_does_not_stop_an_entry() -> None:
    limit = StreamLimit(SMALL)
    for number, late_s in enumerate([0.0, 0.2, 0.0, 0.0, 0.2, 0.0]):
        limit.measure(EntryUsage(5, 60.0, 100, late_s), number * TICK_S)

        assert limit.free(5) > 0


def test_an_entry_does_not_switch_between_full_and_free_near_its_limit() -> None:
    limit = StreamLimit(SMALL)
    accepted = []
    for number, share in enumerate([0.86, 0.84, 0.86, 0.83, 0.79, 0.84]):
        limit.measure(EntryUsage(5, share * SMALL.memory_mb), number * TICK_S)
        accepted.append(limit.free(5) > 0)

    assert accepted == [False, False, False, False, True, True]


def test_a_slow_entry_accepts_runs_again_after_a_calm_time() -> None:
    limit = StreamLimit(SMALL)
    limit.measure(EntryUsage(5, 60.0, 100, 0.5), 0.0)
    limit.measure(EntryUsage(5, 60.0, 100, 0.0), 0.9 * CALM_S)
    assert limit.free(5) == 0
    limit.measure(EntryUsage(5, 60.0, 100, 0.0), 1.1 * CALM_S)

    assert limit.free(5) > 0
