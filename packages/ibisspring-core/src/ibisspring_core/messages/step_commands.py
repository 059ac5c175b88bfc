"""Commands on weight versions, training steps and their batches."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class PublishVersion:
    """
    A trainer has stored new weights in the weight store.

    :param trainer: name of the trainer.
    :param model: name of the model.
    :param version: number of the weight version; rises with each version of a trainer.
    """

    trainer: str
    model: str
    version: int


@dataclass(frozen=True)
class OpenStep:
    """
    Open a training step, or take it over from an entry that was lost.

    :param trainer: name of the trainer.
    :param step: number of the step.
    :param model: name of the model.
    :param digest: digest of the step's request; a different digest under the same (trainer, step)
        is a conflict.
    :param samples: number of samples in the batch.
    :param daemon: id of the entry that collects the samples.
    :param incarnation: number of that entry's start.
    :param take_over_epoch: epoch whose owner the proposer found to be lost. The step is taken over
        only if this is its current epoch; 0 only opens a step. A delivered step that is taken over
        is open again: its batch was lost with the owner, and its sample ids are never delivered
        again.
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
    Result of the commands on a training step: the state of the step after the command.

    :param state: `open`, `delivered`, `acknowledged` or `conflict`.
    :param epoch: number of the step's owner; rises with each takeover and is part of the sample
        ids.
    :param daemon: id of the entry that owns the step.
    :param incarnation: number of that entry's start.
    :param batch_digest: digest of the delivered batch; empty before delivery.
    """

    state: str
    epoch: int
    daemon: str
    incarnation: int
    batch_digest: str = ""


@dataclass(frozen=True)
class SampleLabel:
    """
    Label of a sample in a batch, without the payload.

    :param sample: id of the sample.
    :param digest: digest of its payload.
    :param oldest_version: oldest weight version that generated a part of the sample.
    """

    sample: str
    digest: str
    oldest_version: int


@dataclass(frozen=True)
class DeliverBatch:
    """
    Deliver a complete batch of a training step to its trainer.

    The staleness bound of the samples is checked when the command is applied.

    :param trainer: name of the trainer.
    :param step: number of the step.
    :param epoch: the proposer's epoch; a command with an older epoch than the step's has no effect.
    :param batch_digest: digest of the batch.
    :param labels: labels of all samples in the batch.
    """

    trainer: str
    step: int
    epoch: int
    batch_digest: str
    labels: tuple[SampleLabel, ...]


@dataclass(frozen=True)
class BatchStale:
    """
    Result of `DeliverBatch` if samples exceed the staleness bound at this log index.

    :param trainer_version: the trainer's newest weight version at that index.
    :param stale_samples: ids of the samples that exceed the bound.
    """

    trainer_version: int
    stale_samples: tuple[str, ...]


@dataclass(frozen=True)
class AckStep:
    """
    The trainer has received the batch, so that its payload may be deleted.

    :param trainer: name of the trainer.
    :param step: number of the step.
    :param batch_digest: digest of the received batch; that of a replaced batch is a conflict. Empty
        acknowledges any batch.
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
