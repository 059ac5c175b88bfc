"""
What the dispatcher knows about engines (inference endpoints) from the runs that it assigned.

These are the pace of each engine, idle connections, cached prompts, and pauses: times during which
an engine gets no new runs because one of its runs ended badly.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from ibisspring_core.kept_connections import IdleConnections
from ibisspring_decisions.dispatch import EngineCapacity
from ibisspring_decisions.paced_sends import PacedDelay, PacedSends
from ibisspring_jobs.paces import EnginePaces

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ibisspring_core.messages.endpoints import EndpointRecord
    from ibisspring_core.messages.jobs import Job, Outcome
    from ibisspring_core.routes.model import ServiceTerms
    from ibisspring_jobs.learned_speeds import SpeedRecorder
    from ibisspring_jobs.runs import Run
    from ibisspring_jobs.surroundings import DispatchContext

# Seconds for which an engine gets no new runs after one of its runs ended badly, by the kind of the
# outcome: the stream broke, the engine rejected the run, or it had another weight version than
# expected. Other outcomes do not concern the engine. After this time the daemon's directory view
# usually shows the cause.
PAUSE_S = {"broken": 0.5, "turned_away": 0.1, "stale": 0.2, "failed": 0.0, "returned": 0.0}
# Memory of an engine, in tokens, if its service states no limit: more than all items can take.
UNLIMITED_MEMORY_TOKENS = 1 << 30


class Engines:
    """
    Paces, idle connections, cached prompts and pauses of all engines.

    In all methods `now` is in seconds since boot.

    :param paces: for each engine, the seconds that it takes per event of a stream.
    :param paced_delay: the longest delay of assignments to engines with a limit of requests.
    """

    def __init__(
        self, context: DispatchContext, now: float, recorder: SpeedRecorder | None = None
    ) -> None:
        """
        :param recorder: learns the own speed of each engine; None if the policy does not use it.
        """
        self.paces = EnginePaces(recorder)
        self._recorder = recorder
        self._context = context
        self.paced_delay = PacedDelay()
        self._paced = PacedSends(now)
        self._idle_by_runner = IdleConnections()
        self._idle = IdleConnections()
        self._groups_by_engine: dict[str, set[tuple[str, str]]] = {}
        self._paused_until_by_engine: dict[tuple[str, str], float] = {}

    def allowed(self, job: Job, now: float) -> frozenset[str]:
        """
        Return the ids of the engines that may run a job's items now.

        An engine is excluded while it is paused after a run that ended badly, while it loads
        weights of the job's model, while its weight version is below the job's minimum, and if it
        is outside the job's regions.
        """
        allowed = []
        for record in self._context.serving(job.service):
            paused_until = max(
                self._paused_until_by_engine.get((record.endpoint, ""), 0.0),
                self._paused_until_by_engine.get((record.endpoint, job.model), 0.0),
            )
            version = record.version_by_adapter.get(job.model)
            too_old = version is not None and version < job.min_version
            if (
                now < paused_until
                or too_old
                or not self._context.is_in_regions(record.data_centre, job.regions)
                or self._context.is_loading(record.endpoint, job.model)
            ):
                continue
            allowed.append(record.endpoint)
        return frozenset(allowed)

    def pause(self, engine: str, model: str, kind: str, now: float) -> None:
        """
        Assign no runs to an engine for PAUSE_S seconds, after one of its runs ended badly.

        :param model: model of the run; an engine with a stale weight version is paused for this
            model only.
        :param kind: kind of the run's outcome; PAUSE_S gives the length of the pause by this kind.
        """
        paused_model = model if kind == "stale" else ""
        self._paused_until_by_engine[(engine, paused_model)] = now + PAUSE_S.get(kind, 0.0)

    def register_starts(self, service: str, now: float) -> None:
        """State to the recorder of speeds which start of each engine of a service is served."""
        if self._recorder is None:
            return
        terms = self._context.terms(service)
        for record in self._context.serving(service):
            self._recorder.register(record, slot_count(record, terms), now)

    def any_free_slot(
        self, service: str, records: Iterable[EndpointRecord], runs: Iterable[Run]
    ) -> bool:
        """
        Whether any of the given engines has a free slot.

        :param records: the engines, all of the same service.
        :param runs: all runs in progress.
        """
        running = Counter(run.endpoint for run in runs if not run.scoring)
        terms = self._context.terms(service)
        return any(running[record.endpoint] < slot_count(record, terms) for record in records)

    def free_capacities(
        self, service: str, records: Iterable[EndpointRecord], runs: Iterable[Run], now: float
    ) -> list[EngineCapacity]:
        """
        Return the free slots, free memory, pace and idle connections of the given engines.

        :param records: the engines, all of the same service.
        :param runs: all runs in progress, which use slots and memory.
        """
        runs_by_engine: dict[str, list[Run]] = {}
        for run in runs:
            if not run.scoring:
                runs_by_engine.setdefault(run.endpoint, []).append(run)
        terms = self._context.terms(service)
        memory = terms.memory_tokens if terms and terms.memory_tokens else UNLIMITED_MEMORY_TOKENS
        capacities = []
        for record in records:
            engine = record.endpoint
            engine_runs = runs_by_engine.get(engine, [])
            capacities.append(
                EngineCapacity(
                    engine=engine,
                    free_slots=self._free_slots(record, terms, len(engine_runs), now),
                    free_memory_tokens=memory - sum(run.tokens for run in engine_runs),
                    running=len(engine_runs),
                    slowness=self.paces.slowness(engine),
                    groups_with_prompt=self._groups_by_engine.get(engine, set()),
                    idle_connections=self._idle.count_idle((engine,), now),
                )
            )
        return capacities

    def _free_slots(
        self, record: EndpointRecord, terms: ServiceTerms | None, running: int, now: float
    ) -> int:
        free_slots = slot_count(record, terms) - running
        limit = self._context.paced_limit(record.service)
        if limit is None or free_slots <= 0:
            return free_slots
        is_cold = self._context.is_cold(record.endpoint)
        return min(free_slots, self._paced.free(record.endpoint, limit, is_cold, now))

    def has_idle_connection(self, runner: str, engine: str, now: float) -> bool:
        """
        Whether a runner has an idle connection to an engine.

        :param runner: address of the runner.
        """
        return self._idle_by_runner.count_idle((runner, engine), now) > 0

    def run_started(self, runner: str, engine: str, group: tuple[str, str], now: float) -> None:
        """
        Record that a run uses a connection, and that the engine caches its group's prompt.

        :param runner: address of the runner.
        :param group: job id and group of the run's item; the items of a group share their prompt.
        """
        self._paced.record(engine, now, self.paced_delay.current_s(now))
        self._idle_by_runner.take_idle((runner, engine), now)
        self._idle.take_idle((engine,), now)
        self._groups_by_engine.setdefault(engine, set()).add(group)

    def run_adopted(self, engine: str, group: tuple[str, str]) -> None:
        """Record that an engine has read the prompt of a group; the request was sent before."""
        self._groups_by_engine.setdefault(engine, set()).add(group)

    def connection_released(self, run: Run, outcome: Outcome, now: float) -> None:
        """
        Record that a run's connection is idle, if the engine keeps it open after the run's end.

        :param outcome: how the run ended, with the seconds that the engine keeps the connection.
        """
        if outcome.kept_s:
            self._idle_by_runner.add((run.runner, run.endpoint), now, outcome.kept_s)
            self._idle.add((run.endpoint,), now, outcome.kept_s)


def slot_count(record: EndpointRecord, terms: ServiceTerms | None) -> int:
    """
    Return the number of items that an engine runs at a time.

    :param terms: the terms of its service, which count if the engine states no number.
    """
    return record.load.capacity or (terms.capacity if terms else 1)


__all__ = ["Engines", "slot_count"]
