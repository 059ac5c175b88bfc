from __future__ import annotations

from ibisspring_decisions.slots import OVERCOMMIT, WorkTime, entry_slots


def test_slots_of_all_entries_add_up_to_about_the_capacity() -> None:
    # Nine entries share 40 slots. If each entry used all of them, nine times as many requests would
    # be sent, and most of these requests would wait in the endpoints' first-come, first-served
    # queues.
    wanted = (50.0, 10.0, *([0.0] * 7))

    slots = [
        entry_slots(40, wanted[index], wanted[:index] + wanted[index + 1 :]) for index in range(9)
    ]

    assert 40 <= sum(slots) <= OVERCOMMIT * 40 + 9
    assert slots[0] > 2 * slots[1]
    assert min(slots) >= 1


def test_an_entry_that_requests_a_complete_step_gets_most_slots() -> None:
    assert entry_slots(40, 100.0, (0.0,) * 8) > 0.8 * 40


def test_an_entry_gets_no_slot_without_capacity() -> None:
    assert entry_slots(0, 5.0, ()) == 0


def test_the_expected_time_is_zero_before_the_first_response() -> None:
    # While the time per token is unknown, a request with a large token bound must not be rejected
    # as unable to finish before its deadline.
    assert WorkTime().expected_s(1_000_000) == 0.0


def test_large_token_bounds_that_end_early_have_a_short_expected_time() -> None:
    # Callers request up to 100,000 tokens and get some hundred tokens in 5 s. The expected time
    # must follow these 5 s.
    work_time = WorkTime()
    for _ in range(20):
        work_time.add_duration(100_000, 5.0)

    assert work_time.expected_s(100_000) < 6.0
