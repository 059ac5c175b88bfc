"""
The decisions of the dispatcher that are in force where the policy names `speeds`.

Items are placed, and runs move, by the predicted ends of their texts on engines whose speeds are
learned and kept in the log.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisspring_jobs.predicted_moves import PredictedMoves
from ibisspring_jobs.predictions import PredictedPlacement

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from ibisspring_core.messages.endpoints import EndpointRecord
    from ibisspring_core.messages.jobs import Outcome
    from ibisspring_decisions.dispatch import Placement
    from ibisspring_decisions.stragglers import Move
    from ibisspring_jobs.commands import KeepSpeeds
    from ibisspring_jobs.engines import Engines
    from ibisspring_jobs.items import Items
    from ibisspring_jobs.learned_speeds import SpeedRecorder
    from ibisspring_jobs.runs import Run
    from ibisspring_jobs.state import JobsState
    from ibisspring_jobs.surroundings import DispatchContext


class SpeedPolicy:
    """
    Placement and moves by predicted ends, during one epoch.

    In all methods `now` is in seconds since boot.

    :param speeds: the learned speeds of engines.
    """

    def __init__(
        self,
        state: JobsState,
        context: DispatchContext,
        items: Items,
        engines: Engines,
        recorder: SpeedRecorder,
    ) -> None:
        self.speeds = speeds = recorder.speeds
        self._recorder = recorder
        self._items = items
        self._engines = engines
        self._counters = context.counters
        self._placement = PredictedPlacement(state, items, engines, speeds, context.counters)
        self._moves = PredictedMoves(state, context, engines, speeds, self._placement.reserved)

    def place(
        self,
        service: str,
        record_by_engine: Mapping[str, EndpointRecord],
        runs: Iterable[Run],
        now: float,
    ) -> Iterable[Placement]:
        """Place waiting items of a service; see `PredictedPlacement.place`."""
        return self._placement.place(service, record_by_engine, runs, now)

    def choose_moves(self, runs: Sequence[Run], now: float) -> list[tuple[Run, Move]]:
        """Choose the runs that move now, and count them by their reason."""
        moves = self._moves.choose(runs, now)
        for _, move in moves:
            self._counters.add(f"dispatch.moved.{move.reason.value}")
        return moves

    def record_end(self, run: Run | None, outcome: Outcome, now: float) -> None:
        """Record the error of the predicted end of a text, if the outcome completes the text."""
        if run is None or run.scoring or not run.predicted_end_at:
            return
        if outcome.kind != "done" and not outcome.whole:
            return
        error_s = now - run.predicted_end_at
        kind = "later" if error_s > 0 else "sooner"
        self._counters.observe("predicted_end_error_seconds", abs(error_s), kind)

    def update(self, now: float) -> KeepSpeeds | None:
        """
        Register the engines that are served, and return the command that keeps learned speeds.

        :return: None if there is nothing to keep now.
        """
        self._recorder.restore()
        for service in self._items.services():
            self._engines.register_starts(service, now)
        return self._recorder.command_to_keep(now)

    def remove_finished(self, job: str) -> None:
        """Forget those items of a job that need no run any more."""
        self._placement.remove_finished(job)


__all__ = ["SpeedPolicy"]
