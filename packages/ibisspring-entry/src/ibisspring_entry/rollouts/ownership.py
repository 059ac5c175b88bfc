"""Determines which entry owns a step and whether that entry still holds a valid lease."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ibisspring_core.errors import Reason, Refusal

if TYPE_CHECKING:
    from ibisspring_core.messages.commands import StepState
    from ibisspring_entry.rollouts.gathering import StepKey
    from ibisspring_entry.rollouts.step_commands import StepCommands

RETRY_AFTER_S = 0.5


def is_own(state: StepState, commands: StepCommands) -> bool:
    """Return whether this entry, in its current incarnation, owns the step."""
    return state.daemon == commands.daemon and state.incarnation == commands.incarnation


def may_deliver(state: StepState, key: StepKey) -> bool:
    """Return whether samples generated under the step's epoch in `key` may still be delivered."""
    return state.state != "acknowledged" and state.epoch == key.epoch


def is_owner_lost(lease: Any, state: StepState) -> bool:
    """
    Return whether a step is not acknowledged and its current owner is permanently lost.

    The leader's view lists an entry as a peer until the entry's lease has lapsed. Its step may be
    taken over only after that: from then on, an owner that is cut off from the control daemons
    rejects its trainers' requests itself.

    :param lease: the kernel's service `lease`, which provides the leader's view.
    :param state: state of a step that another entry owns.
    """
    if state.state not in ("open", "delivered"):
        return False
    address = address_of_owner(lease, state)
    return isinstance(address, Refusal) and address.reason is Reason.OWNER_LOST


def address_of_owner(lease: Any, state: StepState) -> str | Refusal:
    """
    Return the address of the entry that owns a step.

    :return: IP:port of its gRPC server, or a refusal: `owner_lost` if the owner is no longer a
        peer, else the reason why this entry has no valid view from the leader.
    """
    view = lease.view()
    if isinstance(view, Refusal):
        return view
    peer = view.peer_by_daemon.get(state.daemon)
    if peer is not None and peer.incarnation == state.incarnation:
        return peer.peer_address
    return Refusal(
        Reason.OWNER_LOST,
        not_run=True,
        retry_after_s=RETRY_AFTER_S,
        detail="the entry that owned the step is lost; open the step again",
    )


__all__ = ["address_of_owner", "is_own", "is_owner_lost", "may_deliver"]
