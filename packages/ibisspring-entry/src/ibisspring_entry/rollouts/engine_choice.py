"""Which engines may work for a trainer now, and how many attempts they have room for."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ibisspring_core.messages.endpoints import Disproof
from ibisspring_decisions.sampling import is_stale
from ibisspring_entry.rollouts.trainer_rules import bound_of, room_of

if TYPE_CHECKING:
    from ibisspring_core.messages.endpoints import EndpointRecord

DISTRUST_S = 5.0
"""Long enough to keep a lying engine from eating a step's time, short against the minutes between
versions, so that an engine that mends itself is soon used again."""


class EngineChoice:
    """
    The engines of one step.

    An engine is left out while it announces a version that is too old for the trainer, and for a
    while after its tokens had no label or an older one than announced (a swap that was reported
    done and was not). Work started there would only be thrown away. Neither is needed for a true
    label.
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
        self._distrusted_until_s: dict[str, float] = {}

    def room(self, running: int, now: float) -> int:
        """
        Count the attempts that the step may run at a time.

        :param running: attempts of the step that run now.
        :param now: seconds on the clock of `distrust`.
        """
        left_out = self.left_out(now)
        engines = tuple(record for record in self._engines() if record.endpoint not in left_out)
        return room_of(self._lease, engines, self._trainer, self._model, running)

    def left_out(self, now: float) -> tuple[str, ...]:
        """
        List the engines that no attempt may use.

        :param now: seconds on the clock of `distrust`.
        """
        bound = bound_of(self._lease, self._trainer)
        found = []
        for record in self._engines():
            version = announced_version(record, self._trainer)
            old = version is not None and is_stale(version, bound.trainer_version, bound.versions)
            if old or self._distrusted_until_s.get(record.endpoint, 0.0) > now:
                found.append(record.endpoint)
        return tuple(found)

    def distrust(self, endpoint: str, now: float) -> None:
        """
        Leave an engine out for a while.

        :param now: seconds.
        """
        self._distrusted_until_s[endpoint] = now + DISTRUST_S

    def disprove(self, endpoint: str, version: int, now: float) -> None:
        """
        Leave an engine out whose first tokens were older than announced, and tell the leader.

        :param version: what the tokens said.
        :param now: seconds.
        """
        self.distrust(endpoint, now)
        for record in self._engines():
            announced = record.version_by_adapter.get(self._trainer)
            if record.endpoint != endpoint or announced is None or announced <= version:
                continue
            self._registry.disprove(
                Disproof(endpoint, record.incarnation, self._trainer, announced)
            )

    def _engines(self) -> tuple[EndpointRecord, ...]:
        records = self._registry.records_of(self._model)
        return tuple(record for record in records if record.role == "engine")


def announced_version(record: EndpointRecord, trainer: str) -> int | None:
    """
    Read what an engine says that it uses for a trainer.

    :return: the adapter's version, else the base's; None where it says neither.
    """
    versions = record.version_by_adapter
    return versions.get(trainer, versions.get(""))


__all__ = ["DISTRUST_S", "EngineChoice", "announced_version"]
