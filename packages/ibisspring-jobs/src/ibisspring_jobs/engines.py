"""What the dispatcher knows of the engines by using them; `now` is always given."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from ibisspring_core.kept_connections import KeptConnections
from ibisspring_decisions.dispatch import EngineRoom
from ibisspring_jobs.paces import EnginePaces

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ibisspring_core.messages.endpoints import EndpointRecord
    from ibisspring_core.messages.jobs import Job, Outcome
    from ibisspring_core.routes.model import ServiceTerms
    from ibisspring_jobs.runs import Run
    from ibisspring_jobs.surroundings import Surroundings

# An engine that broke a run, or had another version than believed, is left alone this long: the
# directory's next view mostly tells why.
REST_S = {"broken": 0.5, "turned_away": 0.1, "stale": 0.2, "failed": 0.0}
# For a service whose engines' memory is not known.
ANY_MEMORY = 1 << 30


class Engines:
    """
    Paces, idle connections, prompts read and rests of all engines.

    :param paces: how long each takes for an event.
    """

    def __init__(self, around: Surroundings) -> None:
        self.paces = EnginePaces()
        self._around = around
        self._kept_by_runner = KeptConnections()
        self._kept = KeptConnections()
        self._groups_by_engine: dict[str, set[tuple[str, str]]] = {}
        self._rest_until_by_engine: dict[tuple[str, str], float] = {}

    def allowed(self, job: Job, now: float) -> frozenset[str]:
        """Engines that may run a job's items now, by their weights, loads and rests."""
        found = []
        for record in self._around.serving(job.service):
            rests = max(
                self._rest_until_by_engine.get((record.endpoint, ""), 0.0),
                self._rest_until_by_engine.get((record.endpoint, job.model), 0.0),
            )
            version = record.version_by_adapter.get(job.model)
            too_old = version is not None and version < job.min_version
            if now < rests or too_old or self._around.loads(record.endpoint, job.model):
                continue
            found.append(record.endpoint)
        return frozenset(found)

    def rest(self, engine: str, model: str, kind: str, now: float) -> None:
        """
        Leave an engine alone after a run that ended badly.

        :param kind: how the run ended; a stale one tells of its model only.
        """
        of_model = model if kind == "stale" else ""
        self._rest_until_by_engine[(engine, of_model)] = now + REST_S.get(kind, 0.0)

    def any_place(
        self, service: str, records: Iterable[EndpointRecord], runs: Iterable[Run]
    ) -> bool:
        """Whether any of some engines has a place left beside the runs under way."""
        running = Counter(run.endpoint for run in runs if not run.scoring)
        terms = self._around.terms(service)
        return any(running[one.endpoint] < _slots(one, terms) for one in records)

    def rooms(
        self, service: str, records: Iterable[EndpointRecord], runs: Iterable[Run], now: float
    ) -> list[EngineRoom]:
        """Tell what each of some engines has left beside the runs under way."""
        runs_by_engine: dict[str, list[Run]] = {}
        for run in runs:
            if not run.scoring:
                runs_by_engine.setdefault(run.endpoint, []).append(run)
        terms = self._around.terms(service)
        memory = terms.memory_tokens if terms and terms.memory_tokens else ANY_MEMORY
        rooms = []
        for record in records:
            engine = record.endpoint
            own = runs_by_engine.get(engine, [])
            rooms.append(
                EngineRoom(
                    engine=engine,
                    slots=_slots(record, terms) - len(own),
                    tokens=memory - sum(run.tokens for run in own),
                    running=len(own),
                    slowness=self.paces.slowness(engine),
                    groups=self._groups_by_engine.get(engine, set()),
                    connected=self._kept.idle((engine,), now),
                )
            )
        return rooms

    def connected(self, runner: str, engine: str, now: float) -> bool:
        """Whether a runner, by its address, has an idle connection to an engine."""
        return self._kept_by_runner.idle((runner, engine), now) > 0

    def begins(self, runner: str, engine: str, group: tuple[str, str], now: float) -> None:
        """Note that a runner begins an item at an engine, which reads its group's prompt."""
        self._kept_by_runner.taken((runner, engine), now)
        self._kept.taken((engine,), now)
        self._groups_by_engine.setdefault(engine, set()).add(group)

    def released(self, run: Run, outcome: Outcome, now: float) -> None:
        """Note that a run came to its end, and that its connection is idle from now on."""
        if outcome.kept_s:
            self._kept_by_runner.released((run.runner, run.endpoint), now, outcome.kept_s)
            self._kept.released((run.endpoint,), now, outcome.kept_s)


def _slots(record: EndpointRecord, terms: ServiceTerms | None) -> int:
    return record.load.capacity or (terms.capacity if terms else 1)


__all__ = ["Engines"]
