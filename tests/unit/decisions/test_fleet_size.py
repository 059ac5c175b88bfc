from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from ibisspring_decisions.fleet_size import (
    BOOT_SLACK_S,
    REFUSED_PAUSE_S,
    FleetLimit,
    Order,
    OrderHistory,
    PlatformOffer,
    limit_beside,
    missing_by_limit,
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


def test_orders_stay_under_the_operators_number_over_all_data_centres() -> None:
    present = {"derby": 2, "stoke": 1}
    limit = FleetLimit.from_policy(4, 0.0)

    assert next_order(OrderHistory(), MARKET, 7, present, 10.0, limit) == Order("stoke", 2)
    assert missing_by_limit(OrderHistory(), MARKET, 7, present, 10.0, limit) == 3
    assert next_order(OrderHistory(), MARKET, 7, {"derby": 3, "stoke": 1}, 10.0, limit) is None


def test_orders_stay_under_the_operators_price_and_begin_with_the_cheapest() -> None:
    limit = FleetLimit.from_policy(0, 4.4)

    assert next_order(OrderHistory(), MARKET, 9, {"derby": 2}, 10.0, limit) == Order("stoke", 3)
    full = {"derby": 2, "stoke": 3}
    assert next_order(OrderHistory(), MARKET, 9, full, 10.0, limit) is None
    assert missing_by_limit(OrderHistory(), MARKET, 9, full, 10.0, limit) == 4


def test_a_limit_below_the_fleet_orders_nothing_and_asks_for_no_stop() -> None:
    # The operator lowers the limit while more engines exist. Those stay; lost ones are not replaced
    # until the fleet is below the limit.
    limit = FleetLimit.from_policy(2, 0.0)

    assert next_order(OrderHistory(), MARKET, 5, {"derby": 3, "stoke": 1}, 10.0, limit) is None
    assert next_order(OrderHistory(), MARKET, 5, {"derby": 1}, 10.0, limit) == Order("stoke", 1)


def test_engines_of_an_evacuated_data_centre_count_for_the_limit() -> None:
    # They exist and are paid; if they did not count, an evacuation would double what is spent.
    prices = {"derby": 1.0, "stoke": 0.8, "walsall": 1.25}
    limit = limit_beside(FleetLimit.from_policy(4, 4.0), {"walsall": 2}, prices)
    offer = PlatformOffer(3, 4.0, {"derby": 1.0, "stoke": 0.8})

    assert limit == FleetLimit(2, 1.5)
    assert next_order(OrderHistory(), offer, 9, {}, 10.0, limit) == Order("stoke", 1)


def test_what_the_platform_lacks_is_not_missing_by_the_limit() -> None:
    full = {"derby": 3, "stoke": 3, "walsall": 3}

    limit = FleetLimit.from_policy(9, 0.0)
    assert missing_by_limit(OrderHistory(), MARKET, 12, full, 10.0, limit) == 0


@given(
    wanted=st.integers(0, 12),
    present=st.tuples(st.integers(0, 3), st.integers(0, 3), st.integers(0, 3)),
    most=st.integers(1, 12),
    price=st.floats(0.5, 15.0),
)
def test_no_sequence_of_orders_exceeds_a_limit(wanted, present, most, price) -> None:
    count = dict(zip(("derby", "stoke", "walsall"), present, strict=True))
    limit = FleetLimit.from_policy(most, price)

    for _ in range(12):
        order = next_order(OrderHistory(), MARKET, wanted, count, 10.0, limit)
        if order is None:
            break
        assert order.count > count[order.data_centre]
        count[order.data_centre] = order.count
        assert sum(count.values()) <= most
        assert sum(MARKET.price_by_data_centre[name] * n for name, n in count.items()) <= (
            price + 1e-5
        )
