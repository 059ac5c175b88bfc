"""The service `control_membership`: who holds the directory's log, and who founds the jobs' log."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

import eliot

from ibisspring_consensus.messages import ReplicaId
from ibisspring_consensus.own_member import own_member
from ibisspring_consensus.repair import Candidate, next_change
from ibisspring_core.leader_client import LeaderClient
from ibisspring_core.messages.directory import Group, Renew
from ibisspring_directory.commands import FoundJobs

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.messages.directory import Member
    from ibisspring_core.settings.vm import VmSettings

TICK_S = 0.5
RENEW_TIMEOUT_S = 1.5
# The first stores of a system start within a third of a second of each other; the log is founded
# by those that are there then, also where the deployment has fewer than wanted.
FOUND_AFTER_S = 2.0


class ControlMembership:
    """Control VMs tell the leader of their disks; the leader exchanges those that are gone."""

    name = "control_membership"

    def __init__(self, settings: VmSettings) -> None:
        self._settings = settings
        self._wanted = 2 * settings.losses + 1
        self._incarnation = secrets.token_hex(8)
        self._stores_since = 0.0

    @classmethod
    def from_config(cls, settings: VmSettings) -> ControlMembership:
        """
        Build the service.

        :param settings: checked settings of a control VM.
        :return: the service.
        """
        return cls(settings)

    async def start(self, kernel: Kernel) -> None:
        """Begin to tell and to look."""
        self._consensus = kernel.find("consensus")
        self._directory = kernel.find("directory")
        self._current_settings = kernel.find("current_settings")
        self._leader = LeaderClient(kernel.find("peer_client"), self._addresses)
        timer = kernel.find("timer")
        self._subscriptions = (
            timer.subscribe("control_membership", TICK_S, self._tick),
            timer.subscribe("control_renewal", TICK_S, self._renew),
        )

    async def stop(self) -> None:
        """End both."""
        for subscription in self._subscriptions:
            subscription.cancel()

    def _addresses(self) -> tuple[str, ...]:
        known = tuple(voter.daemon for voter in self._consensus.core.members.voters)
        return tuple(dict.fromkeys((*known, *self._current_settings.seeds)))

    async def _renew(self, now: float) -> None:
        """Tell the leader that this VM is there; one that is no member becomes a candidate."""
        settings = self._settings
        renew = Renew(
            address=settings.peer_address,
            daemon=settings.daemon,
            data_centre=settings.data_centre,
            incarnation=self._incarnation,
            role=settings.role,
            member=own_member(settings, self._consensus),
            wall_s=self._directory.own_wall_s(),
        )
        if self._directory.leads():
            await self._directory.renew(renew)
            return
        await self._leader.call(renew, RENEW_TIMEOUT_S, RENEW_TIMEOUT_S / 2)

    async def _tick(self, now: float) -> None:
        if not self._directory.leads():
            return
        await self._found_jobs(now)
        members = self._directory.sessions.members(now, "control")
        change = next_change(self._consensus.core.state, candidates(members), (), self._wanted)
        if change is not None:
            eliot.log_message("membership:change", log="directory", change=str(change))
            self._consensus.dispatch(change)

    async def _found_jobs(self, now: float) -> None:
        """Choose the stores that found the jobs' log, once, at the first start."""
        if self._directory.state.job_group is not None:
            return
        stores = [one for one in self._directory.sessions.members(now, "store") if one.empty]
        if not stores:
            self._stores_since = 0.0
            return
        self._stores_since = self._stores_since or now
        if len(stores) < self._wanted and now < self._stores_since + FOUND_AFTER_S:
            return
        group = Group(secrets.token_hex(8), spread(stores, self._wanted))
        await self._directory.propose(FoundJobs(group))
        eliot.log_message("membership:jobs_founded", by=[one.address for one in group.founders])


def candidates(members: tuple[Member, ...]) -> list[Candidate]:
    """
    Turn disks into candidates for a log.

    :return: one for each.
    """
    return [
        Candidate(ReplicaId(member.address, member.disk_id), member.data_centre)
        for member in members
    ]


def spread(members: list[Member], wanted: int) -> tuple[Member, ...]:
    """
    Choose members over as many data centres as possible.

    :return: at most `wanted` of them.
    """
    chosen: list[Member] = []
    left = list(members)
    while left and len(chosen) < wanted:
        used = [one.data_centre for one in chosen]
        best = min(left, key=lambda one: (used.count(one.data_centre), one.address))
        chosen.append(best)
        left.remove(best)
    return tuple(chosen)


__all__ = ["ControlMembership", "candidates", "spread"]
