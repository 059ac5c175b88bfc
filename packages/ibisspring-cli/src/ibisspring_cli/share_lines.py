"""Formats the engine time of a client account for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ibisspring_core.messages.job_control import AccountShare


def share_line(share: AccountShare) -> str:
    """Return one line with what an account used, lent and is owed at a service."""
    balance = f", lent {share.lent_s} s, owed {share.owed_s} s" if share.lent_s is not None else ""
    return (
        f"{share.client_account} at {share.service}: {share.used_s} slot-seconds used{balance}, "
        f"{share.running} slots in use, {share.waiting} items waiting"
    )


__all__ = ["share_line"]
