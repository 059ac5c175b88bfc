"""Commands that record usage and close usage windows."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class UsageRecord:
    """
    Usage of one service by one client account.

    :param client_account: name of the client account.
    :param service: name of the service or model.
    :param tokens: number of generated tokens.
    :param calls: number of answered calls.
    :param endpoint_s: processing time at endpoints, in seconds.
    """

    client_account: str
    service: str
    tokens: int = 0
    calls: int = 0
    endpoint_s: float = 0.0


@dataclass(frozen=True)
class AddUsage:
    """
    Add usage that an entry counted; idempotent under the key (daemon, incarnation, sequence).

    :param daemon: id of the entry that counted the usage.
    :param incarnation: number of the entry's start.
    :param sequence: number of the command within the incarnation.
    :param window: index of the usage window in which the requests ended.
    :param records: the usage to add, by client account and service.
    """

    daemon: str
    incarnation: int
    sequence: int
    window: int
    records: tuple[UsageRecord, ...]


@dataclass(frozen=True)
class UsageAdded:
    """
    Result of `AddUsage`: the usage is recorded.

    :param window: index of the usage window that the usage was added to; a later window than the
        command's if that one was closed already.
    """

    window: int


@dataclass(frozen=True)
class CloseWindow:
    """Make the counts of a usage window final; the leader proposes this after the window's end."""

    window: int


@dataclass(frozen=True)
class WindowReported:
    """The platform's usage interface has acknowledged the counts of a usage window."""

    window: int


__all__ = [
    "AddUsage",
    "CloseWindow",
    "UsageAdded",
    "UsageRecord",
    "WindowReported",
]
