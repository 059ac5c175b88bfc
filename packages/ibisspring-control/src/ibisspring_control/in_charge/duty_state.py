"""What the duties read from the replicated state."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ibisspring_core.messages.commands import OrderIntent


@dataclass(frozen=True)
class UsageLine:
    """
    One line of a usage report.

    :param tokens: generated tokens.
    :param calls: answered calls.
    :param endpoint_s: seconds of endpoint work.
    :param late: the work ended in an earlier window, which was closed already.
    """

    client_account: str
    service: str
    tokens: int
    calls: int
    endpoint_s: float
    late: bool


@dataclass(frozen=True)
class UsageWindow:
    """
    A usage window that is not reported yet.

    :param window: its index: wall-clock seconds divided by the window's length.
    :param closed: its figures are fixed.
    :param lines: its figures.
    """

    window: int
    closed: bool
    lines: tuple[UsageLine, ...]


@dataclass(frozen=True)
class OpenOrder:
    """
    A committed order without a known end.

    :param intent: the committed intent.
    :param fencing: its fencing number.
    """

    intent: OrderIntent
    fencing: int


class DutyState(Protocol):
    """Read access to the replicated state of this replica."""

    def unreported_windows(self) -> tuple[UsageWindow, ...]:
        """Windows with usage that are open, or closed and not reported, oldest first."""

    def open_orders(self) -> tuple[OpenOrder, ...]:
        """Orders without a known end, by rising fencing number."""

    def draining_endpoints(self) -> tuple[str, ...]:
        """Endpoints that an operator asked to drain and that are not stopped yet."""


__all__ = ["DutyState", "OpenOrder", "UsageLine", "UsageWindow"]
