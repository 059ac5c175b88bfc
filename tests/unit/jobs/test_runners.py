"""
The choice of the runner that sends an item to an engine.

The load is that of a trainer's step, whose items use all slots of five engines.
"""

from __future__ import annotations

from types import SimpleNamespace

import xxhash

from ibisspring_core.messages.jobs import TakeWork
from ibisspring_jobs.runners import OVERLOAD_MIN_RUNS, RUNNER_TIMEOUT_S, Runners

DATA_CENTRES = ("derby", "stoke", "walsall")
ENGINES = {f"engine-{number}": DATA_CENTRES[number % 3] for number in range(5)}
SLOTS = 4


def runners_of(count: int) -> Runners:
    runners = Runners()
    for number in range(count):
        call = TakeWork(f"e{number}", DATA_CENTRES[number % 3], "x", 1, 1, (), 48, 0.4)
        runner, _ = runners.register_call(call, 0.0)
        runner.waiting = True
    return runners


def place_runs(runners: Runners, steps: int) -> set[tuple[str, str, int]]:
    """
    Choose the runners for several trainer steps, each of which uses all slots of all engines.

    :return: the connections that the runs opened, each as runner address, endpoint and slot.
    """
    opened: set[tuple[str, str, int]] = set()
    for _ in range(steps):
        placed = []
        for slot in range(SLOTS):
            for endpoint, data_centre in ENGINES.items():
                runner = runners.choose(endpoint, data_centre, 0.0)
                runner.sequence_by_number[len(placed)] = 1
                placed.append((runner, endpoint))
                opened.add((runner.address, endpoint, slot))
        for number, (runner, _) in enumerate(placed):
            del runner.sequence_by_number[number]
        # Between two steps, one runner becomes unavailable because of other work of its daemon, or
        # becomes available again.
        toggled = next(iter(runners.runner_by_address.values()))
        toggled.waiting = not toggled.waiting
    return opened


def test_runs_of_an_engine_reuse_the_connections_of_one_runner() -> None:
    # There are nine entries in three data centres. If each entry opened its own connections to each
    # engine in its data centre, there would be three times as many connections.
    opened = place_runs(runners_of(9), steps=10)

    assert len(opened) <= 1.5 * len(ENGINES) * SLOTS


def test_runs_stay_in_the_data_centre_of_their_engine() -> None:
    runners = runners_of(9)

    for endpoint, data_centre in ENGINES.items():
        assert runners.choose(endpoint, data_centre, 0.0).data_centre == data_centre


def test_overloaded_runner_gets_no_more_runs() -> None:
    runners = runners_of(6)
    first = runners.choose("engine-0", "derby", 0.0)
    first.sequence_by_number = dict.fromkeys(range(OVERLOAD_MIN_RUNS), 1)

    second = runners.choose("engine-0", "derby", 0.0)

    assert second is not first
    assert second.data_centre == "derby"


def test_runner_without_an_open_call_is_not_chosen() -> None:
    runners = runners_of(6)
    first = runners.choose("engine-0", "derby", 0.0)
    first.waiting = False

    assert runners.choose("engine-0", "derby", 0.0) is not first
    for runner in runners.runner_by_address.values():
        runner.waiting = False
    assert runners.choose("engine-0", "derby", 0.0) is None


def test_runner_between_two_calls_keeps_the_runs_of_its_engines() -> None:
    # A runner's call for work was answered 10 ms ago, and its next call is in transit. If the
    # runner were skipped now, the next run of its engine would be assigned to another runner, which
    # would open a new connection for it.
    runners = runners_of(3)
    first = runners.choose("engine-0", "derby", 0.0, lambda address: address == "e1")
    assert first.address == "e1"
    first.waiting = False
    first.answered_at = 10.0

    assert runners.choose("engine-0", "derby", 10.01, lambda address: address == "e1") is first
    assert runners.choose("engine-0", "derby", 11.0, lambda address: address == "e1") is not first


def test_assignment_between_two_calls_does_not_count_as_lost() -> None:
    # No call of the runner is open, so an assignment is sent with the answer to its next call. This
    # call cannot yet report the assignment as running. If the assignment counted as lost because of
    # that, its item would be assigned a second time.
    runners = runners_of(1)
    runner = runners.choose("engine-0", "derby", 0.0)
    runner.waiting = False
    runner.assign(SimpleNamespace(number=7), 0.0)

    _, lost = runners.register_call(TakeWork("e0", "derby", "x", 1, 2, (), 48, 0.4), 0.1)
    assert lost == ()
    assert [assignment.number for assignment in runner.outbox] == [7]

    _, lost = runners.register_call(TakeWork("e0", "derby", "x", 1, 3, (), 48, 0.4), 0.2)
    assert lost == (7,)


def sized_runners(capacity_by_address: dict[str, int]) -> Runners:
    runners = Runners()
    for address, capacity in capacity_by_address.items():
        call = TakeWork(address, "derby", "x", 1, 1, (), 48, 0.4, capacity=capacity)
        runner, _ = runners.register_call(call, 0.0)
        runner.waiting = True
    return runners


def test_large_runners_carry_more_runs_than_small_ones() -> None:
    # A quarter of the runners bears three times the streams of the others. With a hash that knows
    # no sizes, each runs the same share, and the small ones are short of processor time.
    capacities = {f"e{number}": 57 if number % 4 == 0 else 19 for number in range(72)}
    runners = sized_runners(capacities)
    for number in range(400):
        for _ in range(4):
            runners.choose(f"engine-{number}", "derby", 0.0).assign(
                SimpleNamespace(number=(number, _)), 0.0
            )
    runs = {
        capacity: sum(
            len(runner.sequence_by_number)
            for runner in runners.runner_by_address.values()
            if runner.capacity == capacity
        )
        / sum(1 for known in capacities.values() if known == capacity)
        for capacity in (57, 19)
    }

    assert runs[57] > 2 * runs[19]


def test_runners_of_equal_or_unknown_size_are_chosen_as_before() -> None:
    unknown = sized_runners({f"e{number}": 0 for number in range(9)})
    equal = sized_runners({f"e{number}": 25 for number in range(9)})

    for number in range(50):
        endpoint = f"engine-{number}"
        expected = min(
            unknown.runner_by_address,
            key=lambda address: xxhash.xxh64_intdigest(f"{endpoint} {address}".encode()),
        )
        assert unknown.choose(endpoint, "derby", 0.0).address == expected
        assert equal.choose(endpoint, "derby", 0.0).address == expected


def test_a_large_runner_is_overloaded_later_than_a_small_one() -> None:
    runners = sized_runners({"small": 20, "large": 60})
    for runner in runners.runner_by_address.values():
        runner.sequence_by_number = dict.fromkeys(range(10), 1)

    chosen = {runners.choose(f"engine-{number}", "derby", 0.0).address for number in range(30)}

    assert chosen == {"large"}


def test_sizes_open_no_connections_to_engines() -> None:
    # A small runner has an idle connection to the engine; a large one would have to open one.
    runners = sized_runners({"small": 20, "large": 60})

    for number in range(20):
        chosen = runners.choose(f"engine-{number}", "derby", 0.0, lambda one: one == "small")
        assert chosen.address == "small"


def test_runners_are_not_lost_for_the_time_in_which_their_leader_held_no_lease() -> None:
    # Connections between the stores go silent and the leader loses its lease for a second. It
    # answered no runner in this time. If it counted that as their silence, it would give all of
    # their items to others, although they run.
    runners = runners_of(2)
    regained_at = RUNNER_TIMEOUT_S + 0.1

    runners.restart_timeouts(regained_at)

    assert runners.remove_timed_out(regained_at + RUNNER_TIMEOUT_S / 2) == ()
    assert len(runners.remove_timed_out(regained_at + RUNNER_TIMEOUT_S + 0.1)) == 2
