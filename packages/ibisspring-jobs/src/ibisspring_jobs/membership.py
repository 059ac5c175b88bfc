"""
The service `job_membership`: bootstraps the jobs' log and replaces its failed replicas.

A replica is a store's copy of the log. A member is a store whose replica votes on the log's
entries.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import eliot

from ibisspring_consensus import events
from ibisspring_consensus.member_repair import MemberRepair
from ibisspring_consensus.membership import holders
from ibisspring_consensus.messages import Members, ReplicaId
from ibisspring_consensus.own_member import own_member
from ibisspring_consensus.repair import Placement, ReplacementCandidate

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.messages.directory import Renew
    from ibisspring_core.settings.vm import VmSettings

# Seconds between two comparisons, by the leader, of the log's members with the available stores.
TICK_S = 0.3


class JobMembership:
    """
    Manages which stores hold a replica of the jobs' log.

    Every store reports its disk to the directory. The stores that the directory selected bootstrap
    the log. The leader of the log replaces members that no longer answer it or that an operator
    retires.
    """

    name = "job_membership"

    def __init__(self, settings: VmSettings) -> None:
        self._settings = settings
        self._target_voters = settings.voters
        # Includes stores that are silent now; their data centres are lost from the view.
        self._data_centre_by_address: dict[str, str] = {}

    @classmethod
    def from_config(cls, settings: VmSettings) -> JobMembership:
        """
        Build the service `job_membership` of a store.

        :param settings: the store's settings, already validated; `losses` determines the number of
            members.
        """
        return cls(settings)

    async def start(self, kernel: Kernel) -> None:
        """
        Subscribe to the directory view, and start to compare members with stores periodically.
        """
        self._consensus = kernel.find("consensus")
        self._repair = MemberRepair("jobs", self._consensus, kernel.find("counters"))
        self._jobs = kernel.find("jobs")
        self._view = kernel.find("directory_view")
        self._view.add_renew_fields(self._describe)
        self._view.subscribe(self._bootstrap)
        self._ticks = kernel.find("timer").subscribe("job_membership", TICK_S, self._tick)

    async def stop(self) -> None:
        """Stop the periodic comparison of the log's members with the available stores."""
        self._ticks.cancel()

    def _describe(self, renew: Renew) -> Renew:
        consensus = self._consensus
        return replace(
            renew,
            member=own_member(self._settings, consensus),
            leads_jobs=consensus.is_leader,
            job_members=holders(consensus.core.state),
            demand=self._jobs.peak_demand() if consensus.is_leader else (),
            allowed=self._jobs.oldest_allowed_versions() if consensus.is_leader else (),
        )

    def _bootstrap(self) -> None:
        """
        Bootstrap the log if the directory selected this store's disk as one of its first replicas.

        The selection is replicated and contains disk ids, so each selected store writes the same
        first log entry. A store that has lost its disk since the selection has a new disk id, which
        the selection does not contain, and bootstraps nothing.
        """
        group = self._view.view.job_group
        if group is None or not self._consensus.core.is_empty:
            return
        voters = tuple(
            sorted(ReplicaId(founder.address, founder.disk_id) for founder in group.founders)
        )
        if self._consensus.replica in voters:
            self._consensus.dispatch(events.Bootstrap(Members(voters, cluster=group.cluster)))
            eliot.log_message("job_membership:founded", cluster=group.cluster)

    async def _tick(self, now: float) -> None:
        if not self._consensus.is_leader:
            return
        view = self._view.view
        candidates = [
            ReplacementCandidate(ReplicaId(store.address, store.disk_id), store.data_centre)
            for store in view.stores
        ]
        for store in view.stores:
            self._data_centre_by_address[store.address] = store.data_centre
        placement = Placement(
            self._target_voters,
            self._settings.most_voters_per_data_centre,
            self._data_centre_by_address,
        )
        self._repair.tick(candidates, view.retiring, placement)


__all__ = ["JobMembership"]
