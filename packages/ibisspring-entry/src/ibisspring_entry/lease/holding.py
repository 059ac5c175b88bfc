"""The state of an entry's lease, without input or output; times are passed as arguments."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.rules import Rules, parse_rules

if TYPE_CHECKING:
    from ibisspring_core.messages.views import EntryView

RETRY_AFTER_S = 1.0
"""Seconds after which a caller should retry while the lease is lapsed."""


class LeaseState:
    """The control leader's newest view, its parsed rules and the time at which the lease lapses."""

    def __init__(self) -> None:
        self.view: EntryView | None = None
        self.rules = Rules()
        self.peers_digest = 0
        self.lapses_at = 0.0

    def extend(self, sent_s: float, lease_s: float) -> None:
        """
        Extend the lease, counted from the time at which the renewal was sent.

        If the lease counted from the receipt of the reply, a delayed reply would let this entry
        serve after the leader considers the lease lapsed, and a withdrawn key would still work.

        :param sent_s: boot-clock time, in seconds, taken before the renewal was sent.
        :param lease_s: seconds for which the leader granted the lease.
        """
        self.lapses_at = max(self.lapses_at, sent_s + lease_s)

    def accepts(self, view: EntryView) -> bool:
        """
        Return whether a view from the leader may be applied.

        Replies may arrive out of order, and applying an older view would make a withdrawn key valid
        again. Rules that do not parse mean that this entry runs another release than the leader,
        which parsed the same text before it accepted the rules; the lease then lapses, so that the
        outdated rules do not stay in force.

        :param view: the view in a renewal's reply.
        :return: False if this entry must neither apply the view nor extend its lease by the reply
            that contained the view.
        """
        if self.view is not None and view.index < self.view.index:
            return False
        return self._parse_rules(view) is not None

    def apply(self, view: EntryView, peers_digest: int) -> bool:
        """
        Apply a view from the leader for which `accepts` returned True.

        :param view: the view in a renewal's reply.
        :param peers_digest: the leader's digest of its live entries, which the next renewal sends
            back.
        :return: True if the rules changed.
        """
        rules = self._parse_rules(view)
        changed = rules is not self.rules
        self.view = self._with_known_peers(view)
        self.rules = rules
        self.peers_digest = peers_digest
        return changed

    def _parse_rules(self, view: EntryView) -> Rules | None:
        if self.view is not None and view.rules_version == self.view.rules_version:
            return self.rules
        parsed = parse_rules(view.rules_text)
        return parsed if isinstance(parsed, Rules) else None

    def _with_known_peers(self, view: EntryView) -> EntryView:
        """
        Add known entries that are missing from the incomplete view of a new leader.

        A new leader has not yet received renewals from all entries. If the missing entries counted
        as stopped, this entry would use the complete rate of every client account while they still
        serve.
        """
        if view.peers_complete or self.view is None:
            return view
        known = {**self.view.peer_by_daemon, **view.peer_by_daemon}
        return dataclasses.replace(view, peer_by_daemon=known)

    def lapsed(self, now: float) -> bool:
        """Return whether the lease has lapsed or was never granted."""
        return self.view is None or now >= self.lapses_at

    def refusal(self) -> Refusal:
        """Return the refusal that every caller gets while the lease is lapsed."""
        detail = "this entry holds no lease from the control leader"
        return Refusal(Reason.LEASE_LAPSED, True, RETRY_AFTER_S, detail)


__all__ = ["LeaseState"]
