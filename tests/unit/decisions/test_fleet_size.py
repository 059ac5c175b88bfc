from __future__ import annotations

from ibisspring_decisions.fleet_size import (
    LATE_S,
    REFUSED_S,
    Market,
    Order,
    ServiceFleet,
    next_order,
    wanted_count,
)

MARKET = Market(3, 4.0, {"derby": 1.0, "stoke": 0.8, "walsall": 1.25})


def test_what_is_lost_is_ordered_where_it_is_cheapest() -> None:
    # Two engines are taken away and nobody orders others: from then on half of the steps are late.
    fleet = ServiceFleet()

    order = next_order(fleet, MARKET, 5, {"derby": 2, "stoke": 1}, 10.0)

    assert order == Order("stoke", 3)


def test_an_order_is_not_given_twice_while_it_boots() -> None:
    fleet = ServiceFleet()
    present = {"derby": 2, "stoke": 1}
    fleet.ordered(Order("stoke", 3), MARKET, 10.0)

    assert next_order(fleet, MARKET, 5, present, 11.0) is None
    assert next_order(fleet, MARKET, 5, present, 10.0 + 4.0 + LATE_S) == Order("stoke", 3)


def test_where_none_are_to_be_had_another_data_centre_is_asked() -> None:
    fleet = ServiceFleet()
    present = {"derby": 2, "stoke": 1}
    fleet.refused("stoke", 10.0)

    assert next_order(fleet, MARKET, 5, present, 10.1) == Order("derby", 3)
    fleet.ordered(Order("derby", 3), MARKET, 10.1)
    assert next_order(fleet, MARKET, 5, present, 10.2) == Order("walsall", 1)
    assert next_order(fleet, MARKET, 5, present, 10.0 + REFUSED_S) == Order("stoke", 2)


def test_a_whole_fleet_and_one_that_grew_order_nothing() -> None:
    assert next_order(ServiceFleet(), MARKET, 5, {"derby": 3, "stoke": 2}, 10.0) is None
    assert next_order(ServiceFleet(), MARKET, 5, {"derby": 3, "stoke": 3}, 10.0) is None


def test_no_data_centre_gets_more_than_its_most() -> None:
    assert next_order(ServiceFleet(), MARKET, 9, {"stoke": 3}, 10.0) == Order("derby", 3)
    full = {"derby": 3, "stoke": 3, "walsall": 3}
    assert next_order(ServiceFleet(), MARKET, 12, full, 10.0) is None


def test_a_fleet_grows_where_items_find_no_places_and_never_below_its_first_size() -> None:
    assert wanted_count(5, 112, 12) == 7
    assert wanted_count(5, 72, 12) == 5
    assert wanted_count(5, 0, 12) == 5
    assert wanted_count(3, 500, 0) == 3
