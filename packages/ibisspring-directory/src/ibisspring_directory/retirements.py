"""Retirements of stores: an operator asks that a store's data moves to other stores."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import eliot

from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.messages.directory import Retiring
from ibisspring_directory.commands import RetireStore
from ibisspring_directory.sessions import SESSION_ACTIVE_S

if TYPE_CHECKING:
    from ibisspring_core.messages.directory import Retire
    from ibisspring_directory.leader_context import LeaderContext
    from ibisspring_directory.sessions import Session

# Longest time, in seconds, until a store that was frozen or restarted renews its session again.
STORE_RESTART_S = 4.0


class Retirements:
    """The handler of the operators' messages about retirements, on the directory's leader."""

    def __init__(self, context: LeaderContext) -> None:
        self._context = context
        # The first view, by address of the store, that is known to contain its retirement.
        self._view_by_address: dict[str, tuple[int, int]] = {}

    async def retire(self, message: Retire) -> Any:
        """
        Start the retirement of a store, or report its progress.

        A store is retired when its replica of the jobs' log has moved to another store, and the
        leader of that log knows of the retirement. Without the latter, this leader may be choosing
        the store as a new replica at the moment.
        """
        now = boot_now()
        address = self._context.sessions.address_of(message.daemon)
        leader = self._context.sessions.job_leader(now)
        if address is None and now < self._context.led_since() + STORE_RESTART_S:
            return Refusal(
                Reason.NO_LEADER,
                True,
                SESSION_ACTIVE_S,
                "the new leader has received no renewal of this store yet",
            )
        if address is None:
            return Retiring("unknown")
        if message.begin and address not in self._context.state.retiring:
            refused = self._retirement_refusal(address, now)
            if refused is not None:
                return refused
            committed = await self._context.propose(RetireStore(address))
            if isinstance(committed, Refusal):
                return committed
            eliot.log_message("directory:retire", daemon=message.daemon, address=address)
        if address not in self._context.state.retiring or leader is None:
            return Retiring("active")
        is_completed = self._is_known_to(leader, address)
        is_completed = is_completed and address not in leader.renew.job_members
        return Retiring("completed" if is_completed else "active")

    def _is_known_to(self, leader: Session, address: str) -> bool:
        """Whether the view of the jobs' leader contains a store's retirement."""
        epoch, revision = self._context.view_revision()
        known = self._view_by_address.get(address)
        if known is None or known[0] != epoch:
            known = (epoch, revision)
            self._view_by_address[address] = known
        return (leader.renew.epoch, leader.renew.revision) >= known

    def _retirement_refusal(self, address: str, now: float) -> Retiring | Refusal | None:
        """
        Check whether a store can be retired now.

        The answer `too_few` is final. It is sent only where too few other stores have renewed
        within STORE_RESTART_S seconds. While a missing store may still return within this time, the
        operator receives a refusal and may retry.

        :return: the negative answer to the operator; None where the retirement may start.
        """
        needed = self._context.settings.voters
        active = self._count_other_stores(address, now, SESSION_ACTIVE_S)
        if active >= needed:
            return None
        expected = self._count_other_stores(address, now, STORE_RESTART_S)
        final = expected < needed and now >= self._context.led_since() + SESSION_ACTIVE_S
        eliot.log_message(
            "directory:retire_refused",
            address=address,
            in_touch=active,
            expected=expected,
            needed=needed,
            reason="too_few" if final else "silent_stores",
        )
        if final:
            return Retiring("too_few")
        detail = f"{active} other stores renewed recently, {needed} are needed"
        return Refusal(Reason.NO_ENDPOINT, True, SESSION_ACTIVE_S, detail)

    def _count_other_stores(self, address: str, now: float, within_s: float) -> int:
        """
        Number of stores, without the one at `address`, that could hold a replica of the jobs' log.

        :param within_s: longest time since a store's last renewal, in seconds.
        """
        stores = {
            member.address for member in self._context.sessions.members(now, "store", within_s)
        }
        return len(stores - {address} - set(self._context.state.retiring))


__all__ = ["Retirements"]
