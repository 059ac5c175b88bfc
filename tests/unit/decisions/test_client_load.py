"""Replays crowds of clients against the limits of a daemon."""

from __future__ import annotations

import pytest

from ibisspring_decisions.client_load import (
    MIN_BYTES_PER_S,
    SMALL_BYTES,
    ClientCapacity,
    ClientLimits,
    ClientLoad,
    Excess,
    Phase,
)

MB = 1024 * 1024
LIMITS = ClientLimits(header_s=3.0, idle_s=15.0, unread_s=30.0)


def load_of(budget_mb: float = 40, connections: float = 1000) -> ClientLoad:
    return ClientLoad(ClientCapacity(int(budget_mb * MB), connections))


def receiving(load: ClientLoad, key: str, size: int, now: float = 0.0) -> bool:
    """Open a connection whose client begins to send a body, and return whether it may."""
    load.open(key, now)
    load.enter(key, Phase.BODY, now)
    return load.reserve(key, size, now).granted


def test_thirty_bodies_at_once_never_exceed_the_budget() -> None:
    load = load_of()

    granted = [receiving(load, f"c{number}", 12 * MB) for number in range(30)]

    assert sum(granted) == 2
    assert load.reserved_bytes <= load.capacity.budget_bytes


def test_small_requests_find_room_beside_large_bodies_that_never_end() -> None:
    load = load_of()
    for number in range(30):
        receiving(load, f"c{number}", 12 * MB)

    assert all(receiving(load, f"s{number}", 200) for number in range(100))


def test_the_largest_body_alone_is_admitted_by_any_budget() -> None:
    load = load_of(budget_mb=8)
    assert receiving(load, "small", 200)

    assert receiving(load, "large", 32 * MB)
    assert not receiving(load, "second", 32 * MB)


def test_small_requests_find_room_beside_a_job_that_alone_exceeds_the_budget() -> None:
    # A job of the largest size is in memory three times, which is more than the budget. All other
    # requests with a body were refused until it was stored.
    load = load_of()
    assert receiving(load, "job", 3 * 32 * MB)

    assert all(receiving(load, f"s{number}", 200) for number in range(100))
    assert not receiving(load, "large", MB)


def test_a_body_that_stopped_gives_way_to_one_that_arrives() -> None:
    load = load_of()
    assert receiving(load, "stopped", 20 * MB)
    load.move("stopped", 19 * MB, 0.5)
    load.open("new", 3.0)
    load.enter("new", Phase.BODY, 3.0)

    verdict = load.reserve("new", 20 * MB, 3.0)

    assert verdict.granted
    assert verdict.ended == (("stopped", Excess.SHORT_OF_MEMORY),)


def test_a_body_that_arrives_fast_does_not_give_way() -> None:
    load = load_of()
    assert receiving(load, "fast", 20 * MB)
    for tenth in range(30):
        load.move("fast", MB // 2, tenth / 10)

    assert not receiving(load, "new", 20 * MB, 3.0)


def test_a_request_that_runs_does_not_give_way() -> None:
    load = load_of()
    assert receiving(load, "running", 20 * MB)
    load.enter("running", Phase.RUNNING, 1.0)

    assert not receiving(load, "new", 20 * MB, 60.0)


def test_an_answer_takes_the_place_of_the_slowest_reader() -> None:
    load = load_of()
    for number in range(7):
        load.open(f"r{number}", 0.0)
        load.enter(f"r{number}", Phase.ANSWER, 0.0)
        load.reserve(f"r{number}", 4 * MB, 0.0)
        load.move(f"r{number}", (number + 1) * 2_000, 2.0)
    load.open("new", 2.1)
    load.enter("new", Phase.ANSWER, 2.1)

    verdict = load.reserve("new", 4 * MB, 2.1)

    assert verdict.granted
    assert verdict.ended == (("r0", Excess.SHORT_OF_MEMORY),)


def test_a_reservation_that_grows_counts_once() -> None:
    load = load_of()
    assert receiving(load, "c", 0)
    for size in (SMALL_BYTES, MB, 20 * MB, 30 * MB):
        assert load.reserve("c", size, 0.0).granted
        assert load.reserved_bytes == size

    load.close("c")

    assert load.reserved_bytes == 0
    assert receiving(load, "d", 30 * MB)


def test_a_connection_over_the_limit_closes_the_one_that_has_waited_longest() -> None:
    load = load_of(connections=3)
    for number in range(3):
        load.open(f"c{number}", float(number))
    load.enter("c0", Phase.RUNNING, 3.0)

    assert load.open("new", 4.0).ended == (("c1", Excess.CONNECTIONS),)


def test_a_connection_is_refused_where_all_others_run() -> None:
    load = load_of(connections=1)
    load.open("c", 0.0)
    load.enter("c", Phase.RUNNING, 0.0)

    assert not load.open("new", 1.0).granted


@pytest.mark.parametrize(
    ("phase", "limit_s", "excess"),
    [
        (Phase.IDLE, LIMITS.idle_s, Excess.IDLE),
        (Phase.HEAD, LIMITS.header_s, Excess.SLOW_HEAD),
        (Phase.BODY, LIMITS.idle_s, Excess.SLOW_BODY),
        (Phase.REST, LIMITS.idle_s, Excess.SLOW_BODY),
        (Phase.ANSWER, LIMITS.unread_s, Excess.SLOW_READER),
    ],
)
def test_a_silent_client_is_disconnected_at_the_limit_of_its_phase(phase, limit_s, excess) -> None:
    load = load_of()
    load.open("c", 0.0)
    load.enter("c", phase, 10.0)

    assert load.overdue(LIMITS, 10.0 + limit_s) == []
    assert load.overdue(LIMITS, 10.1 + limit_s) == [("c", excess)]


def test_a_byte_from_time_to_time_is_no_progress_and_a_slow_link_is() -> None:
    load = load_of()
    for key in ("trickle", "slow"):
        load.open(key, 0.0)
        load.enter(key, Phase.BODY, 0.0)

    found = []
    for tenth in range(1, 600):
        load.move("trickle", 1, tenth / 10)
        load.move("slow", MIN_BYTES_PER_S // 8, tenth / 10)
        found += load.overdue(LIMITS, tenth / 10)

    assert {key for key, _ in found} == {"trickle"}


@pytest.mark.parametrize("memory_mb", [150, 160, 200, 340])
def test_one_body_of_the_largest_size_fits_beside_the_base(memory_mb) -> None:
    capacity = ClientCapacity.from_size(memory_mb, 4100)

    assert capacity.budget_bytes >= 32 * MB or memory_mb < 150
    assert capacity.connections >= 500


def test_a_process_of_unknown_size_has_no_limit_of_connections() -> None:
    assert ClientCapacity.from_size(0, 0).connections == float("inf")
