from __future__ import annotations

from ibisspring_decisions.fleet_growth import GROWTH_SLACK_S, ORDER_DELAY_S, GrowthWatch

BOOT_S = 4.0
SERVES_S = ORDER_DELAY_S + BOOT_S


def test_engines_are_expected_after_their_order_and_boot_time() -> None:
    growth = GrowthWatch()
    assert growth.serves_at(BOOT_S, 100.0) == 100.0 + SERVES_S

    growth.update(present=5, wanted=7, now=100.0)
    assert growth.serves_at(BOOT_S, 102.0) == 100.0 + SERVES_S


def test_a_fleet_that_does_not_grow_is_not_counted_on() -> None:
    # The platform has no engines, and refuses the orders of another daemon.
    growth = GrowthWatch()
    growth.update(5, 7, 100.0)
    late_s = 100.0 + SERVES_S + GROWTH_SLACK_S + 0.1
    growth.update(4, 7, 103.0)
    growth.update(5, 7, 104.0)

    assert growth.serves_at(BOOT_S, late_s) is None
    growth.update(6, 7, late_s)
    assert growth.serves_at(BOOT_S, late_s) == late_s + SERVES_S


def test_a_fleet_that_suffices_may_grow_again() -> None:
    growth = GrowthWatch()
    growth.update(5, 7, 100.0)
    growth.update(5, 5, 200.0)

    assert growth.serves_at(BOOT_S, 200.0) == 200.0 + SERVES_S
