"""Who runs an item: replays of a step on five engines."""

from __future__ import annotations

from types import SimpleNamespace

from ibisspring_core.messages.jobs import TakeWork
from ibisspring_jobs.runners import CROWDED_RUNS, Runners

CENTRES = ("derby", "stoke", "walsall")
ENGINES = {f"engine-{number}": CENTRES[number % 3] for number in range(5)}
SLOTS = 4


def runners_of(count: int) -> Runners:
    runners = Runners()
    for number in range(count):
        call = TakeWork(f"e{number}", CENTRES[number % 3], "x", 1, 1, (), 48, 0.4)
        runner, _ = runners.take(call, 0.0)
        runner.waiting = True
    return runners


def place_runs(runners: Runners, steps: int) -> set[tuple[str, str, int]]:
    """Run steps that fill all engines; the connections that were opened for it."""
    opened: set[tuple[str, str, int]] = set()
    for _ in range(steps):
        placed = []
        for slot in range(SLOTS):
            for endpoint, centre in ENGINES.items():
                runner = runners.best(endpoint, centre, 0.0)
                runner.sequence_by_number[len(placed)] = 1
                placed.append((runner, endpoint))
                opened.add((runner.address, endpoint, slot))
        for number, (runner, _) in enumerate(placed):
            del runner.sequence_by_number[number]
        # Other work makes one entry busier than another between two steps.
        busiest = next(iter(runners.runner_by_address.values()))
        busiest.waiting = not busiest.waiting
    return opened


def test_an_engines_runs_reuse_the_connections_of_one_runner() -> None:
    # Nine entries in three data centres; each opening connections of its own to each engine of its
    # centre would be three times as many.
    opened = place_runs(runners_of(9), steps=10)

    assert len(opened) <= 1.5 * len(ENGINES) * SLOTS


def test_runs_stay_in_the_data_centre_of_their_engine() -> None:
    runners = runners_of(9)

    for endpoint, centre in ENGINES.items():
        assert runners.best(endpoint, centre, 0.0).data_centre == centre


def test_a_crowded_runner_gets_no_more() -> None:
    runners = runners_of(6)
    first = runners.best("engine-0", "derby", 0.0)
    first.sequence_by_number = dict.fromkeys(range(CROWDED_RUNS), 1)

    second = runners.best("engine-0", "derby", 0.0)

    assert second is not first
    assert second.data_centre == "derby"


def test_a_runner_that_takes_no_work_is_passed_over() -> None:
    runners = runners_of(6)
    first = runners.best("engine-0", "derby", 0.0)
    first.waiting = False

    assert runners.best("engine-0", "derby", 0.0) is not first
    for runner in runners.runner_by_address.values():
        runner.waiting = False
    assert runners.best("engine-0", "derby", 0.0) is None


def test_a_runner_between_two_calls_keeps_its_engines() -> None:
    # A runner's call was answered a moment ago and its next one is on its way. Passed over now, it
    # would lose its engine's next run to a runner that opens a connection for it.
    runners = runners_of(3)
    first = runners.best("engine-0", "derby", 0.0, lambda address: address == "e1")
    assert first.address == "e1"
    first.waiting = False
    first.answered_at = 10.0

    assert runners.best("engine-0", "derby", 10.01, lambda address: address == "e1") is first
    assert runners.best("engine-0", "derby", 11.0, lambda address: address == "e1") is not first


def test_what_a_runner_is_given_between_two_calls_is_not_taken_for_lost() -> None:
    # An assignment waits for the runner's next call, which cannot name it as running yet.
    runners = runners_of(1)
    runner = runners.best("engine-0", "derby", 0.0)
    runner.waiting = False
    runner.give(SimpleNamespace(number=7))

    _, lost = runners.take(TakeWork("e0", "derby", "x", 1, 2, (), 48, 0.4), 0.1)
    assert lost == ()
    assert [one.number for one in runner.outbox] == [7]

    _, lost = runners.take(TakeWork("e0", "derby", "x", 1, 3, (), 48, 0.4), 0.2)
    assert lost == (7,)
