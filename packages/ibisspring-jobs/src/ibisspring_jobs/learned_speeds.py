"""
The learned speed of each engine, on the leader of the jobs' log.

The speeds are learned from the events of running streams, and kept in the log: a new leader would
otherwise place the items of the first seconds as if all engines were equally fast.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import eliot

from ibisspring_decisions.engine_speed import (
    EngineState,
    LearnedSpeeds,
    StateChange,
    StreamProgress,
    is_worth_keeping,
)
from ibisspring_jobs.commands import KeepSpeeds

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ibisspring_core.counters import Counters
    from ibisspring_core.messages.endpoints import EndpointRecord
    from ibisspring_jobs.state import JobsState

# Minimum seconds between two commits of the learned speeds.
KEEP_EVERY_S = 5.0
# Seconds after the start of an epoch in which kept speeds of engines that have not been seen are
# not dropped: the directory view of a new leader may be incomplete.
UNCLAIMED_KEPT_S = 60.0
# Seconds after which the speed of an engine that is no longer served is forgotten.
ABSENT_KEPT_S = 600.0


class SpeedRecorder:
    """
    Learns the speeds of engines during one epoch.

    In all methods `now` is in seconds since boot.

    :param speeds: the learned speeds.
    """

    def __init__(self, state: JobsState, counters: Counters, now: float) -> None:
        self.speeds = LearnedSpeeds()
        self._state = state
        self._counters = counters
        self._restored: object = None
        self._started_at = now
        self._kept_at = now
        self._degraded: set[str] = set()
        self.restore()

    def restore(self) -> None:
        """Use the speeds in the log for all engines that have not been measured in this epoch."""
        if self._restored is not self._state.speeds:
            self._restored = self._state.speeds
            self.speeds.restore(self._state.speeds)

    def register(self, record: EndpointRecord, slots: int, now: float) -> None:
        """State that an engine is served, with its present start and number of slots."""
        change = self.speeds.register(record.endpoint, record.incarnation, slots, now)
        self._log(change)

    def observe(
        self,
        progress_by_engine: Mapping[str, StreamProgress],
        running_by_engine: Mapping[str, int],
        now: float,
    ) -> None:
        """Add what the streams of some engines produced since they were last reported."""
        for engine, progress in progress_by_engine.items():
            running = running_by_engine.get(engine, 1)
            self._log(self.speeds.observe(engine, running, progress, now))

    def command_to_keep(self, now: float) -> KeepSpeeds | None:
        """Return the command that keeps the speeds; None if it is not due or nothing changed."""
        if now - self._kept_at < KEEP_EVERY_S:
            return None
        self._kept_at = now
        if now - self._started_at > UNCLAIMED_KEPT_S:
            self.speeds.forget_unclaimed()
        self.speeds.forget_absent(now - ABSENT_KEPT_S)
        learned = self.speeds.known_speeds()
        if not is_worth_keeping(self._state.speeds, learned):
            return None
        return KeepSpeeds(learned)

    def _log(self, change: StateChange | None) -> None:
        if change is None:
            return
        self._counters.add(f"engine_state.{change.state.value}")
        # Noise begins and ends several times a second on a large fleet, so it is only counted.
        if change.state is EngineState.DEGRADED:
            self._degraded.add(change.engine)
        elif change.engine not in self._degraded or change.state is EngineState.NOISY:
            return
        else:
            self._degraded.discard(change.engine)
        eliot.log_message(
            "dispatch:engine_state",
            endpoint=change.engine,
            state=change.state.value,
            event_s=round(change.present_s, 4),
            usual_event_s=round(change.usual_s, 4),
            age_s=round(change.age_s, 2),
        )


__all__ = ["SpeedRecorder"]
