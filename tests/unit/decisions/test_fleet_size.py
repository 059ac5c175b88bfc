from __future__ import annotations

from ibisspring_decisions.fleet_size import (
    BOOT_SLACK_S,
    REFUSED_PAUSE_S,
    Order,
    OrderHistory,
    PlatformOffer,
    next_order,
    wanted_count,
)

MARKET = PlatformOffer(3, 4.0, {"derby": 1.0, "stoke": 0.8, "walsall": 1.25})


def test_lost_endpoints_are_ordered_in_the_cheapest_data_centre() -> None:
    # Two of five engines are lost. Without replacements, half of the trainers' steps would be late
    # from then on.
    fleet = OrderHistory()

    order = next_order(fleet, MARKET, 5, {"derby": 2, "stoke": 1}, 10.0)

    assert order == Order("stoke", 3)


def test_ordered_endpoints_are_not_ordered_again_while_they_boot() -> None:
    fleet = OrderHistory()
    present = {"derby": 2, "stoke": 1}
    fleet.record_order(Order("stoke", 3), MARKET, 10.0)

    assert next_order(fleet, MARKET, 5, present, 11.0) is None
    assert next_order(fleet, MARKET, 5, present, 10.0 + 4.0 + BOOT_SLACK_S) == Order("stoke", 3)


def test_after_a_refusal_another_data_centre_is_asked() -> None:
    fleet = OrderHistory()
    present = {"derby": 2, "stoke": 1}
    fleet.record_refusal("stoke", 10.0)

    assert next_order(fleet, MARKET, 5, present, 10.1) == Order("derby", 3)
    fleet.record_order(Order("derby", 3), MARKET, 10.1)
    assert next_order(fleet, MARKET, 5, present, 10.2) == Order("walsall", 1)
    assert next_order(fleet, MARKET, 5, present, 10.0 + REFUSED_PAUSE_S) == Order("stoke", 2)


def test_a_complete_fleet_and_a_larger_one_order_nothing() -> None:
    assert next_order(OrderHistory(), MARKET, 5, {"derby": 3, "stoke": 2}, 10.0) is None
    assert next_order(OrderHistory(), MARKET, 5, {"derby": 3, "stoke": 3}, 10.0) is None


def test_no_data_centre_gets_more_endpoints_than_its_maximum() -> None:
    assert next_order(OrderHistory(), MARKET, 9, {"stoke": 3}, 10.0) == Order("derby", 3)
    full = {"derby": 3, "stoke": 3, "walsall": 3}
    assert next_order(OrderHistory(), MARKET, 12, full, 10.0) is None


def test_a_fleet_grows_if_items_find_no_free_slots_and_never_shrinks_below_its_initial_size() -> (
    None
):
    assert wanted_count(5, 112, 12) == 7
    assert wanted_count(5, 72, 12) == 5
    assert wanted_count(5, 0, 12) == 5
    assert wanted_count(3, 500, 0) == 3


def test_evacuated_endpoints_are_replaced_only_by_what_waits() -> None:
    # A third of the fleet is evacuated and returns at the end. Replacements would be paid for the
    # rest of the day; items that wait for a slot still get endpoints elsewhere.
    assert wanted_count(24 - 8, 60, 6) == 16
    assert wanted_count(24 - 8, 160, 6) == 20
