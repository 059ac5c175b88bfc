"""Each trainer's newest published weight version, whose number never decreases."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ibisspring_core.errors import Reason
from ibisspring_core.messages.commands import Done, PublishVersion, Refused

if TYPE_CHECKING:
    from ibisspring_control.state.moment import LogPosition
    from ibisspring_core.rules import Rules


@dataclass(frozen=True)
class TrainerVersion:
    """The newest weight version that a trainer published, and the log index of its publication."""

    trainer: str
    model: str
    version: int
    index: int


@dataclass(frozen=True)
class TrainersSnapshot:
    """The newest weight version of each trainer, sorted by trainer."""

    versions: tuple[TrainerVersion, ...] = ()


class Trainers:
    """Newest published weight version by trainer."""

    def __init__(self, snapshot: TrainersSnapshot) -> None:
        self.version_by_trainer = {version.trainer: version for version in snapshot.versions}

    def snapshot(self) -> TrainersSnapshot:
        """Return the newest weight version of each trainer, sorted by trainer."""
        by_trainer = self.version_by_trainer
        return TrainersSnapshot(tuple(by_trainer[trainer] for trainer in sorted(by_trainer)))

    def version_of(self, trainer: str) -> int:
        """Return the trainer's newest weight version; 0 if the trainer has not published one."""
        known = self.version_by_trainer.get(trainer)
        return known.version if known is not None else 0

    def publish(
        self, command: PublishVersion, rules: Rules, position: LogPosition
    ) -> Done | Refused:
        """Record a newer weight version if a share rule allows the trainer to train this model."""
        if command.trainer not in rules.trainers_by_model.get(command.model, ()):
            detail = f"no share rule lets {command.trainer!r} train {command.model!r}"
            return Refused(Reason.NOT_ALLOWED.value, detail)
        newest = self.version_of(command.trainer)
        if command.version == newest:
            return Done()
        if command.version < newest:
            return Refused(Reason.STALE.value, f"version {newest} was already published")
        self.version_by_trainer[command.trainer] = TrainerVersion(
            command.trainer, command.model, command.version, position.index
        )
        return Done()


__all__ = ["TrainerVersion", "Trainers", "TrainersSnapshot"]
