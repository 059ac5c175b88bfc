"""Selects the engines that may run attempts of a trainer's step, and how many in parallel."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ibisspring_core.messages.endpoints import Disproof
from ibisspring_decisions.sampling import is_stale
from ibisspring_entry.rollouts.trainer_rules import staleness_bound_of, trainer_concurrency_limit

if TYPE_CHECKING:
    from ibisspring_core.messages.endpoints import EndpointRecord

EXCLUSION_S = 5.0
"""Seconds without attempts on an engine whose tokens were unlabelled or older than announced.

The time is long enough that such an engine does not use up the time of a step, and short against
the minutes between two versions, so that an engine that has recovered is soon used again."""


class EngineChoice:
    """
    The engines that one step may use.

    An engine is excluded while it announces a version that is too old for the trainer, and for
    `EXCLUSION_S` after its tokens had no label or an older version than announced (a weight swap
    that was reported as done but was not). Samples generated there would only be discarded. The
    exclusion saves work; correct labels do not depend on it.
    """

    def __init__(
        self,
        lease: Any,
        registry: Any,
        trainer: str,
        model: str,
    ) -> None:
        self._lease = lease
        self._registry = registry
        self._trainer = trainer
        self._model = model
        self._excluded_until_s: dict[str, float] = {}

    def concurrency_limit(self, running: int, now: float) -> int:
        """
        Return how many attempts of the step may run concurrently.

        :param running: attempts of the step that run now.
        :param now: monotonic time in seconds, on the same clock as for `exclude`.
        """
        excluded = self.excluded(now)
        engines = tuple(record for record in self._engines() if record.endpoint not in excluded)
        return trainer_concurrency_limit(self._lease, engines, self._trainer, self._model, running)

    def excluded(self, now: float) -> tuple[str, ...]:
        """
        Return the names of the engines on which no attempt may start.

        :param now: monotonic time in seconds, on the same clock as for `exclude`.
        """
        bound = staleness_bound_of(self._lease, self._trainer)
        found = []
        for record in self._engines():
            version = announced_version(record, self._trainer)
            old = version is not None and is_stale(
                version, bound.trainer_version, bound.max_versions_behind
            )
            if old or self._excluded_until_s.get(record.endpoint, 0.0) > now:
                found.append(record.endpoint)
        return tuple(found)

    def exclude(self, endpoint: str, now: float) -> None:
        """
        Exclude an engine from new attempts for `EXCLUSION_S`.

        :param now: monotonic time in seconds.
        """
        self._excluded_until_s[endpoint] = now + EXCLUSION_S

    def exclude_and_report(self, endpoint: str, version: int, now: float) -> None:
        """
        Exclude an engine whose first tokens were older than announced, and report it to the leader.

        :param version: weight version in the label of the first tokens.
        :param now: monotonic time in seconds.
        """
        self.exclude(endpoint, now)
        for record in self._engines():
            announced = record.version_by_adapter.get(self._trainer)
            if record.endpoint != endpoint or announced is None or announced <= version:
                continue
            self._registry.report_false_version(
                Disproof(endpoint, record.incarnation, self._trainer, announced)
            )

    def _engines(self) -> tuple[EndpointRecord, ...]:
        records = self._registry.available_endpoints(self._model)
        return tuple(record for record in records if record.role == "engine")


def announced_version(record: EndpointRecord, trainer: str) -> int | None:
    """
    Return the weight version that an engine announces for a trainer.

    :return: the version of the trainer's adapter, else of the base model; None if neither is
        announced.
    """
    versions = record.version_by_adapter
    return versions.get(trainer, versions.get(""))


__all__ = ["EXCLUSION_S", "EngineChoice", "announced_version"]
