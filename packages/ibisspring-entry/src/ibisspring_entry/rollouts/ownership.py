"""Who holds a step, and whether that entry still lives."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ibisspring_core.errors import Reason, Refusal

if TYPE_CHECKING:
    from ibisspring_core.messages.commands import StepState
    from ibisspring_entry.rollouts.gathering import StepKey
    from ibisspring_entry.rollouts.step_commands import StepCommands

RETRY_AFTER_S = 0.5


def is_own(state: StepState, commands: StepCommands) -> bool:
    """Whether this start of this entry owns the step."""
    return state.daemon == commands.daemon and state.incarnation == commands.incarnation


def is_current(state: StepState, key: StepKey) -> bool:
    """Whether what was gathered under a key may still be delivered."""
    return state.state != "acknowledged" and state.epoch == key.epoch


def is_lost(lease: Any, state: StepState) -> bool:
    """
    Whether a step's owner is gone for good and nobody else took the step.

    An entry is a live peer until its lease has lapsed, and only then may its step be taken over: an
    owner that is cut off refuses its trainers by itself from that moment on.

    :param lease: the kernel's `lease`.
    :param state: of a step that another entry owns.
    """
    if state.state not in ("open", "delivered"):
        return False
    address = address_of_owner(lease, state)
    return isinstance(address, Refusal) and address.reason is Reason.OWNER_LOST


def address_of_owner(lease: Any, state: StepState) -> str | Refusal:
    """
    Find the entry that holds a step.

    :return: IP:port of its gRPC, or a refusal that says whether it is lost.
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
        detail="the entry that held the step is gone; send the step's request again",
    )


__all__ = ["address_of_owner", "is_current", "is_lost", "is_own"]
