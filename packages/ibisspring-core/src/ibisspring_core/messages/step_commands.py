"""Commands on trainers' versions, steps and batches."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class PublishVersion:
    """A trainer has new weights in the weight store; versions of a trainer only rise."""

    trainer: str
    model: str
    version: int


@dataclass(frozen=True)
class OpenStep:
    """
    Open a training step, or take it over from a lost entry.

    :param step: number of the step.
    :param digest: digest of the step's request; another digest under the same (trainer, step) is a
        conflict.
    :param samples: how many samples make the batch.
    :param daemon: entry that gathers the samples.
    :param incarnation: start of that entry.
    :param take_over_epoch: epoch that the proposer found with a lost owner and replaces; another
        owner keeps the step unless this is its epoch. 0 only opens. A delivered step that is
        taken over is open again: its batch went with the owner and its sample ids are never
        delivered again.
    """

    trainer: str
    step: int
    model: str
    digest: str
    samples: int
    daemon: str
    incarnation: int
    take_over_epoch: int = 0


@dataclass(frozen=True)
class StepState:
    """
    Result of the step commands.

    :param state: `open`, `delivered`, `acknowledged` or `conflict`.
    :param epoch: rises each time that another entry takes the step over; sample ids contain it.
    :param daemon: entry that holds the step.
    :param batch_digest: digest of the delivered batch.
    """

    state: str
    epoch: int
    daemon: str
    incarnation: int
    batch_digest: str = ""


@dataclass(frozen=True)
class SampleLabel:
    """
    A sample in a batch, without its payload.

    :param oldest_version: oldest weight version in its label runs.
    """

    sample: str
    digest: str
    oldest_version: int


@dataclass(frozen=True)
class DeliverBatch:
    """
    Deliver a whole batch; the staleness bound is checked where this is applied.

    :param epoch: the proposer's epoch; an older one loses.
    """

    trainer: str
    step: int
    epoch: int
    batch_digest: str
    labels: tuple[SampleLabel, ...]


@dataclass(frozen=True)
class BatchStale:
    """Result of `DeliverBatch` when samples are older than the bound at this log index."""

    trainer_version: int
    stale_samples: tuple[str, ...]


@dataclass(frozen=True)
class AckStep:
    """
    The trainer holds the batch; its payload may go.

    :param batch_digest: the batch that it holds; one that was replaced is a conflict. Empty takes
        any.
    """

    trainer: str
    step: int
    batch_digest: str = ""


__all__ = [
    "AckStep",
    "BatchStale",
    "DeliverBatch",
    "OpenStep",
    "PublishVersion",
    "SampleLabel",
    "StepState",
]
