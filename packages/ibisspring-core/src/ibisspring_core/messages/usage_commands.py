"""Commands on usage and its windows."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class UsageRecord:
    """
    Usage of one client account on one service.

    :param tokens: generated tokens.
    :param calls: answered calls.
    :param endpoint_s: seconds of endpoint work.
    """

    client_account: str
    service: str
    tokens: int = 0
    calls: int = 0
    endpoint_s: float = 0.0


@dataclass(frozen=True)
class AddUsage:
    """
    Add an entry's usage; (daemon, incarnation, sequence) counts once.

    :param window: index of the usage window in which the work ended.
    """

    daemon: str
    incarnation: int
    sequence: int
    window: int
    records: tuple[UsageRecord, ...]


@dataclass(frozen=True)
class UsageAdded:
    """
    Result of `AddUsage`: the window that took it, a later one when its own was closed already.
    """

    window: int


@dataclass(frozen=True)
class CloseWindow:
    """Fix the figures of a usage window; proposed by the leader when it is over."""

    window: int


@dataclass(frozen=True)
class WindowReported:
    """The usage interface acknowledged the window."""

    window: int


__all__ = [
    "AddUsage",
    "CloseWindow",
    "UsageAdded",
    "UsageRecord",
    "WindowReported",
]
