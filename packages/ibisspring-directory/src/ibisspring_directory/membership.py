"""
The service `control_membership`: replaces members of the directory's log and selects the stores
that bootstrap the jobs' log.

A member of a log is a daemon whose replica votes on the log's entries.
"""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

import eliot

from ibisspring_consensus.member_repair import MemberRepair
from ibisspring_consensus.messages import ReplicaId
from ibisspring_consensus.own_member import own_member
from ibisspring_consensus.repair import Placement, ReplacementCandidate
from ibisspring_core.leader_client import LeaderClient
from ibisspring_core.messages.directory import Group, Renew
from ibisspring_core.settings.vm import CONTROL
from ibisspring_directory.commands import FoundJobs
from ibisspring_directory.sessions import FORGET_S

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.messages.directory import Member
    from ibisspring_core.settings.vm import VmSettings

TICK_S = 0.5
RENEW_TIMEOUT_S = 1.5
# Seconds from the first store's renewal until the jobs' log is bootstrapped by the stores that have
# renewed by then, even if they are fewer than wanted, as in a small deployment. The first stores of
# a system start within a third of a second of each other.
BOOTSTRAP_AFTER_S = 2.0


class ControlMembership:
    """
    Reports this VM's disk to the directory's leader by renewals.

    On the leader, it replaces members of the directory's log that are no longer reachable.
    """

    name = "control_membership"

    def __init__(self, settings: VmSettings) -> None:
        self._settings = settings
        self._wanted = settings.voters
        self._incarnation = secrets.token_hex(8)
        self._first_store_at = 0.0

    @classmethod
    def from_config(cls, settings: VmSettings) -> ControlMembership:
        """
        Build the service `control_membership` of a control VM.

        :param settings: the VM's settings, already validated; `losses` determines the number of
            members.
        """
        return cls(settings)

    async def start(self, kernel: Kernel) -> None:
        """Start to renew this VM's session, and to check the log's members, periodically."""
        self._consensus = kernel.find("consensus")
        self._directory = kernel.find("directory")
        self._current_settings = kernel.find("current_settings")
        self._repair = MemberRepair("directory", self._consensus, kernel.find("counters"))
        self._leader = LeaderClient(kernel.find("peer_client"), self._addresses)
        timer = kernel.find("timer")
        self._timers = (
            timer.subscribe("control_membership", TICK_S, self._tick),
            timer.subscribe("control_renewal", TICK_S, self._renew),
        )

    async def stop(self) -> None:
        """Stop the periodic renewals and the periodic check of the log's members."""
        for timer in self._timers:
            timer.cancel()

    def _addresses(self) -> tuple[str, ...]:
        voters = tuple(voter.daemon for voter in self._consensus.core.members.voters)
        return tuple(dict.fromkeys((*voters, *self._current_settings.seeds)))

    async def _renew(self, now: float) -> None:
        """
        Renew this VM's session at the directory's leader.

        If this VM is not a member of the directory's log, the renewal makes it a candidate.
        """
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
        if self._directory.holds_lease():
            await self._directory.renew(renew)
            return
        await self._leader.call(renew, RENEW_TIMEOUT_S, RENEW_TIMEOUT_S / 2)

    async def _tick(self, now: float) -> None:
        if not self._directory.holds_lease():
            return
        await self._bootstrap_jobs_log(now)
        sessions = self._directory.sessions
        candidates = to_candidates(sessions.members(now, CONTROL))
        known = sessions.members(now, CONTROL, FORGET_S)
        placement = Placement(
            self._wanted,
            self._settings.most_voters_per_data_centre,
            {member.address: member.data_centre for member in known},
        )
        self._repair.tick(candidates, (), placement)

    async def _bootstrap_jobs_log(self, now: float) -> None:
        """
        Select the stores that bootstrap the jobs' log, once, at the first start of the system.

        The selection is committed to the directory's log and reaches the stores with their views.
        """
        if self._directory.state.job_group is not None:
            return
        stores = [store for store in self._directory.sessions.members(now, "store") if store.empty]
        if not stores:
            self._first_store_at = 0.0
            return
        self._first_store_at = self._first_store_at or now
        if len(stores) < self._wanted and now < self._first_store_at + BOOTSTRAP_AFTER_S:
            return
        group = Group(secrets.token_hex(8), choose_across_data_centres(stores, self._wanted))
        await self._directory.propose(FoundJobs(group))
        eliot.log_message(
            "membership:jobs_founded", by=[founder.address for founder in group.founders]
        )


def to_candidates(members: tuple[Member, ...]) -> list[ReplacementCandidate]:
    """
    Convert daemons with a disk into candidates for membership in the directory's log.

    :return: one candidate for each of them, in the same order.
    """
    return [
        ReplacementCandidate(ReplicaId(member.address, member.disk_id), member.data_centre)
        for member in members
    ]


def choose_across_data_centres(members: list[Member], wanted: int) -> tuple[Member, ...]:
    """
    Choose the daemons that bootstrap a log, in as many data centres as possible.

    :return: `wanted` daemons, or all if there are fewer.
    """
    chosen: list[Member] = []
    remaining = list(members)
    while remaining and len(chosen) < wanted:
        used = [member.data_centre for member in chosen]
        best = min(remaining, key=lambda member: (used.count(member.data_centre), member.address))
        chosen.append(best)
        remaining.remove(best)
    return tuple(chosen)


__all__ = ["ControlMembership", "choose_across_data_centres", "to_candidates"]
