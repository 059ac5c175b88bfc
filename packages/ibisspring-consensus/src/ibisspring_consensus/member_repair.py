"""
Keeps the members of one replicated log complete while this replica leads it.

A change of the members that does not end blocks later ones, and the loss of further voters can then
stop the log. Its age is therefore counted and logged.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import eliot

from ibisspring_consensus.repair import next_membership_change, time_since_reply_s

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ibisspring_consensus.messages import Learner
    from ibisspring_consensus.node import ConsensusNode
    from ibisspring_consensus.repair import Placement, ReplacementCandidate
    from ibisspring_consensus.state import CoreState
    from ibisspring_core.counters import Counters

# Seconds after which a change of the members counts as waiting. Copying a log of some ten megabytes
# to a new replica takes one or two seconds.
WAITING_AFTER_S = 5.0


class MemberRepair:
    """The repair of one log's members, and the age of the change in progress."""

    def __init__(self, log: str, consensus: ConsensusNode, counters: Counters) -> None:
        self._log = log
        self._consensus = consensus
        self._counters = counters
        # Start of the change in progress under the present leader, in seconds on the lease clock;
        # the whole seconds of waiting that are counted since; the age at which it is next logged.
        self._changing_since = 0.0
        self._counted_s = 0
        self._next_log_s = WAITING_AFTER_S

    def tick(
        self,
        candidates: Sequence[ReplacementCandidate],
        leaving: Sequence[str],
        placement: Placement,
    ) -> None:
        """
        Start the next change of the members if one is needed; call this on the leader only.

        :param candidates: replicas that respond, including members, in order of preference.
        :param leaving: daemons that an operator is removing.
        :param placement: number of voters, and their limit in a data centre.
        """
        state = self._consensus.core.state
        self._observe(state)
        change = next_membership_change(state, candidates, leaving, placement)
        if change is None:
            return
        eliot.log_message(
            "membership:change",
            log=self._log,
            change=str(change),
            members_index=state.log.members_index,
            candidates=len(candidates),
        )
        self._consensus.dispatch(change)

    def _observe(self, state: CoreState) -> None:
        """Count and log how long the change in progress has lasted under this leader."""
        members = state.log.members
        is_committed = state.commit_index >= state.log.members_index
        if is_committed and not members.learners and not members.outgoing:
            self._begin(state.now)
            return
        if self._changing_since < state.leader_since:
            self._begin(state.leader_since)
        age_s = state.now - self._changing_since
        waiting_s = int(age_s - WAITING_AFTER_S)
        if waiting_s > self._counted_s:
            self._counters.add("membership.waiting_s", waiting_s - self._counted_s)
            self._counted_s = waiting_s
        if age_s < self._next_log_s:
            return
        self._next_log_s = 2 * age_s
        eliot.log_message(
            "membership:waiting",
            log=self._log,
            age_s=round(age_s, 1),
            members_index=state.log.members_index,
            commit_index=state.commit_index,
            outgoing=[voter.daemon for voter in members.outgoing],
            learners=[_description(state, learner) for learner in members.learners],
        )

    def _begin(self, since: float) -> None:
        self._changing_since = since
        self._counted_s = 0
        self._next_log_s = WAITING_AFTER_S


def _description(state: CoreState, learner: Learner) -> dict[str, object]:
    progress = state.progress_by_replica.get(learner.replica)
    return {
        "daemon": learner.replica.daemon,
        "replaces": learner.replaces.daemon if learner.replaces is not None else "",
        "silent_s": round(time_since_reply_s(state, learner.replica), 1),
        "match_index": progress.match_index if progress is not None else 0,
    }


__all__ = ["MemberRepair"]
