from __future__ import annotations

from ibisspring_decisions.slots import OVERCOMMIT, WorkTime, entry_slots


def test_entries_together_send_what_the_endpoints_work_on() -> None:
    # Nine entries before 40 slots. Each counted on all of them, nine times as much was sent, and
    # what waited did so at the endpoints, where first come is first served.
    wanted = (50.0, 10.0, *([0.0] * 7))

    slots = [
        entry_slots(40, wanted[index], wanted[:index] + wanted[index + 1 :]) for index in range(9)
    ]

    assert 40 <= sum(slots) <= OVERCOMMIT * 40 + 9
    assert slots[0] > 2 * slots[1]
    assert min(slots) >= 1


def test_one_entry_that_gathers_a_whole_step_gets_most_slots() -> None:
    assert entry_slots(40, 100.0, (0.0,) * 8) > 0.8 * 40


def test_no_capacity_is_no_slot() -> None:
    assert entry_slots(0, 5.0, ()) == 0


def test_nobody_is_refused_out_of_ignorance() -> None:
    # Until something has been answered nothing is known, and a long bound must not look hopeless.
    assert WorkTime().expect_s(1_000_000) == 0.0


def test_long_bounds_that_end_early_are_not_expected_to_take_long() -> None:
    # Callers ask for 100,000 tokens and get some hundred in 5 s.
    work_time = WorkTime()
    for _ in range(20):
        work_time.learn(100_000, 5.0)

    assert work_time.expect_s(100_000) < 6.0
