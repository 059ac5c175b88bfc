"""The service `job_membership`: which stores hold the jobs' log."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import eliot

from ibisspring_consensus import events
from ibisspring_consensus.messages import Members, ReplicaId
from ibisspring_consensus.own_member import own_member
from ibisspring_consensus.repair import Candidate, next_change

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.messages.directory import Renew
    from ibisspring_core.settings.vm import VmSettings

TICK_S = 0.3


class JobMembership:
    """Tells the directory of this store's disk, founds, and exchanges members that are gone."""

    name = "job_membership"

    def __init__(self, settings: VmSettings) -> None:
        self._settings = settings
        self._wanted = 2 * settings.losses + 1

    @classmethod
    def from_config(cls, settings: VmSettings) -> JobMembership:
        """
        Build the service.

        :param settings: checked settings of a store.
        :return: the service.
        """
        return cls(settings)

    async def start(self, kernel: Kernel) -> None:
        """Begin to tell and to look."""
        self._consensus = kernel.find("consensus")
        self._jobs = kernel.find("jobs")
        self._view = kernel.find("directory_view")
        self._view.describe(self._describe)
        self._view.subscribe(self._found)
        self._ticks = kernel.find("timer").subscribe("job_membership", TICK_S, self._tick)

    async def stop(self) -> None:
        """End the ticks."""
        self._ticks.cancel()

    def _describe(self, renew: Renew) -> Renew:
        consensus = self._consensus
        members = consensus.core.members
        replicas = (*members.voters, *members.outgoing)
        return replace(
            renew,
            member=own_member(self._settings, consensus),
            leads_jobs=consensus.is_leader,
            job_members=tuple(replica.daemon for replica in replicas),
            demand=self._jobs.demand() if consensus.is_leader else (),
            allowed=self._jobs.oldest_allowed() if consensus.is_leader else (),
        )

    def _found(self) -> None:
        """
        Found the log together with the others that the directory chose.

        The choice names disks and is replicated: each founder writes the same first entry, and a
        store that lost its disk since is not among them and founds nothing.
        """
        group = self._view.view.job_group
        if group is None or not self._consensus.core.is_empty:
            return
        voters = tuple(sorted(ReplicaId(one.address, one.disk_id) for one in group.founders))
        if self._consensus.replica in voters:
            self._consensus.dispatch(events.Bootstrap(Members(voters, cluster=group.cluster)))
            eliot.log_message("job_membership:founded", cluster=group.cluster)

    async def _tick(self, now: float) -> None:
        if not self._consensus.is_leader:
            return
        view = self._view.view
        candidates = [
            Candidate(ReplicaId(one.address, one.disk_id), one.data_centre) for one in view.stores
        ]
        change = next_change(self._consensus.core.state, candidates, view.retiring, self._wanted)
        if change is not None:
            eliot.log_message("membership:change", log="jobs", change=str(change))
            self._consensus.dispatch(change)


__all__ = ["JobMembership"]
