"""What an entry holds under its lease: pure, `now` is an argument."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.rules import Rules, parse_rules

if TYPE_CHECKING:
    from ibisspring_core.messages.views import EntryView

RETRY_AFTER_S = 1.0


class Holding:
    """The newest view, its rules and the end of the lease."""

    def __init__(self) -> None:
        self.view: EntryView | None = None
        self.rules = Rules()
        self.peers_digest = 0
        self.lapses_s = 0.0

    def extend(self, sent_s: float, lease_s: float) -> None:
        """
        Count a grant from the moment at which its renewal was sent.

        Counted from its receipt, an answer that was long under way would keep this entry serving
        after the leader took the lease for lapsed: a withdrawn key would go on working.

        :param sent_s: boot-clock second before the renewal left.
        :param lease_s: seconds granted.
        """
        self.lapses_s = max(self.lapses_s, sent_s + lease_s)

    def take(self, view: EntryView, peers_digest: int) -> bool:
        """
        Act on a view unless it is older than the one in force.

        Two answers may overtake each other, and a view that fell back would give a withdrawn key
        its power again.

        :param view: from the leader.
        :param peers_digest: digest of its live entries.
        :return: True where the rules changed.
        """
        if self.view is not None and view.index < self.view.index:
            return False
        old_version = self.view.rules_version if self.view is not None else None
        rules = self.rules
        if view.rules_version != old_version:
            parsed = parse_rules(view.rules_text)
            # The leader parsed the same text before it accepted it, so this shows a release that
            # differs from the leader's; the lease then lapses instead of old rules living on.
            if not isinstance(parsed, Rules):
                return False
            rules = parsed
        self.view = view
        self.rules = rules
        self.peers_digest = peers_digest
        return view.rules_version != old_version

    def lapsed(self, now: float) -> bool:
        """Whether the lease is over, or never began."""
        return self.view is None or now >= self.lapses_s

    def refusal(self) -> Refusal:
        """What every caller gets while the lease is lapsed."""
        detail = "this entry holds no lease from the control leader"
        return Refusal(Reason.LEASE_LAPSED, True, RETRY_AFTER_S, detail)


__all__ = ["Holding"]
