"""What the handlers of operators' messages read and do on the directory's leader."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ibisspring_core.counters import Counters
    from ibisspring_core.settings.vm import VmSettings
    from ibisspring_directory.known_endpoints import KnownEndpoints
    from ibisspring_directory.sessions import Sessions
    from ibisspring_directory.state import DirectoryState


@dataclass(frozen=True)
class LeaderContext:
    """
    The leader's state and what its handlers may do.

    :param propose: commits a command to the directory's log; returns a Refusal where it may not be
        committed.
    :param confirm_read: returns a Refusal unless a quorum confirms that no newer state is
        committed.
    :param holds_lease: whether this daemon is the leader and no other one can be.
    :param agreed_wall_s: the wall clock that most daemons agree on, in seconds since 1970.
    :param led_since: start of this daemon's term as the leader, in seconds on its boot clock.
    :param view_revision: epoch and revision of the newest view.
    :param wait_until_applied: waits until a condition on the time, in seconds on the boot clock,
        holds for the daemons' sessions; returns whether it did within the time limit.
    """

    settings: VmSettings
    state: DirectoryState
    sessions: Sessions
    endpoints: KnownEndpoints
    counters: Counters
    propose: Callable[[Any], Awaitable[Any]]
    confirm_read: Callable[[], Awaitable[Any]]
    holds_lease: Callable[[], bool]
    agreed_wall_s: Callable[[], float]
    led_since: Callable[[], float]
    view_revision: Callable[[], tuple[int, int]]
    wait_until_applied: Callable[[Callable[[float], bool]], Awaitable[bool]]


__all__ = ["LeaderContext"]
