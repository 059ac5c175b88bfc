"""What an entry holds under its lease: pure, `now` is an argument."""

from __future__ import annotations

import dataclasses
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

    def accepts(self, view: EntryView) -> bool:
        """
        Tell whether a view may come into force.

        Two answers may overtake each other, and a view that fell back would give a withdrawn key
        its power again. Rules that do not parse show a release that differs from the leader's,
        which parsed the same text before it accepted it; the lease then lapses instead of old
        rules living on.

        :param view: from the leader.
        :return: False where this entry must not act on it, nor extend its lease by its answer.
        """
        if self.view is not None and view.index < self.view.index:
            return False
        return self._parsed(view) is not None

    def take(self, view: EntryView, peers_digest: int) -> bool:
        """
        Act on a view that is accepted.

        :param view: from the leader.
        :param peers_digest: digest of its live entries.
        :return: True where the rules changed.
        """
        rules = self._parsed(view)
        changed = rules is not self.rules
        self.view = self._with_known_peers(view)
        self.rules = rules
        self.peers_digest = peers_digest
        return changed

    def _parsed(self, view: EntryView) -> Rules | None:
        if self.view is not None and view.rules_version == self.view.rules_version:
            return self.rules
        parsed = parse_rules(view.rules_text)
        return parsed if isinstance(parsed, Rules) else None

    def _with_known_peers(self, view: EntryView) -> EntryView:
        """
        Keep the entries that a new leader may not have heard of yet.

        Taken for gone, they would leave this entry the whole rate of every client account while
        they go on serving.
        """
        if view.peers_complete or self.view is None:
            return view
        known = {**self.view.peer_by_daemon, **view.peer_by_daemon}
        return dataclasses.replace(view, peer_by_daemon=known)

    def lapsed(self, now: float) -> bool:
        """Whether the lease is over, or never began."""
        return self.view is None or now >= self.lapses_s

    def refusal(self) -> Refusal:
        """What every caller gets while the lease is lapsed."""
        detail = "this entry holds no lease from the control leader"
        return Refusal(Reason.LEASE_LAPSED, True, RETRY_AFTER_S, detail)


__all__ = ["Holding"]
