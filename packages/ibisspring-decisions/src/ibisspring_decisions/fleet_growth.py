"""
Tells from the outside whether a fleet of engines can still grow.

Load pattern: the demand exceeds the engines while the platform has none available, or an operator's
limit keeps more from being ordered. Whoever admits jobs does not hear the platform's refusals. If
engines that never come were counted on, jobs would be accepted that cannot be met.
"""

from __future__ import annotations

# Seconds from a demand until engines are ordered for it, and from the end of their boot time until
# they are known to serve.
ORDER_DELAY_S = 1.5
# Seconds after which engines that should serve by then are no longer expected.
GROWTH_SLACK_S = 4.0


class GrowthWatch:
    """
    Watches whether a fleet grows while it is smaller than wanted.

    In all methods `now` is in seconds of one clock.
    """

    def __init__(self) -> None:
        self._behind_since: float | None = None
        self._most_present = 0

    def update(self, present: int, wanted: int, now: float) -> None:
        """
        Record the size of the fleet.

        :param present: number of engines that serve.
        :param wanted: number of engines that the demand asks for.
        """
        if wanted <= present:
            self._behind_since = None
            self._most_present = 0
        elif self._behind_since is None or present > self._most_present:
            self._behind_since = now
            self._most_present = present

    def serves_at(self, boot_s: float, now: float) -> float | None:
        """
        Return the time from which further engines can be expected to serve.

        :param boot_s: seconds from an order until an engine serves.
        :return: None if the fleet has not grown for too long although more engines were wanted.
        """
        begins_s = now if self._behind_since is None else self._behind_since
        serves_s = begins_s + ORDER_DELAY_S + boot_s
        return max(serves_s, now) if now <= serves_s + GROWTH_SLACK_S else None


__all__ = ["GrowthWatch"]
