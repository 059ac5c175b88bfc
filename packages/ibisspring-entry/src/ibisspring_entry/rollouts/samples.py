"""Samples with their version labels, and the batch that is sent to a trainer."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import Any

import msgspec

from ibisspring_core.messages.commands import SampleLabel


@dataclass(frozen=True)
class LabelRun:
    """
    A range of tokens and the weight version that generated it, as labelled by the engine.

    :param start: offset of the first token.
    :param end: offset after the last token.
    """

    version: int
    start: int
    end: int


@dataclass(frozen=True)
class Sample:
    """
    A complete sample of a training step.

    :param sample_id: unique over steps, epochs and attempts; a sample is delivered at most once.
    :param member: number of the sample in its group, from 0.
    :param endpoint_s: seconds of engine time, without the time in the queue.
    :param score_version: weight version for which the score was computed; None without a scorer.
    """

    sample_id: str
    group: str
    member: int
    prompt: str
    tokens: tuple[int, ...]
    runs: tuple[LabelRun, ...]
    endpoint_s: float = 0.0
    score: float | None = None
    score_version: int | None = None

    def oldest_version(self) -> int:
        """Return the oldest weight version that generated a token of the sample."""
        return min(run.version for run in self.runs)

    def newest_version(self) -> int:
        """Return the weight version that generated the last tokens; scores are requested for it."""
        return self.runs[-1].version


@dataclass(frozen=True)
class Batch:
    """
    The samples of one step as they are sent to the trainer.

    :param digest: digest of the samples; identifies the payload in the replicated log.
    :param payload: JSON of the response, the same bytes at every resend.
    :param labels: record of each sample for the replicated log.
    """

    digest: str
    payload: bytes
    labels: tuple[SampleLabel, ...]
    samples: tuple[Sample, ...]


def add_run(
    runs: tuple[LabelRun, ...], version: int | None, count: int
) -> tuple[LabelRun, ...] | None:
    """
    Append the version label of `count` more tokens.

    A missing label is never derived from a neighbouring run or from the version that the engine was
    ordered to load: a weight swap may happen between any two chunks, and a guessed label would let
    a sample of old weights into training undetected.

    :param runs: label runs of the earlier tokens, without gaps.
    :param version: the label of the new tokens; None if the engine sent no label.
    :param count: number of new tokens.
    :return: the extended runs, or None if the label is missing.
    """
    if version is None:
        return None
    start = runs[-1].end if runs else 0
    if runs and runs[-1].version == version:
        return (*runs[:-1], LabelRun(version, runs[-1].start, start + count))
    return (*runs, LabelRun(version, start, start + count))


def build_batch(trainer: str, step: int, samples: tuple[Sample, ...]) -> Batch:
    """
    Encode the samples of a step as the batch for its trainer.

    :param trainer: name of the trainer.
    :param step: number of the trainer's step.
    :param samples: every sample of the step, in the order of groups and members.
    """
    bodies = tuple(_sample_body(sample) for sample in samples)
    digest = _digest(bodies)
    payload = msgspec.json.encode(
        {"trainer": trainer, "step": step, "digest": digest, "samples": bodies}
    )
    labels = tuple(
        SampleLabel(sample.sample_id, _digest(body), sample.oldest_version())
        for sample, body in zip(samples, bodies, strict=True)
    )
    return Batch(digest, payload, labels, samples)


def _sample_body(sample: Sample) -> dict[str, Any]:
    return {
        "sample": sample.sample_id,
        "group": sample.group,
        "prompt": sample.prompt,
        "tokens": sample.tokens,
        "runs": [{"version": run.version, "from": run.start, "to": run.end} for run in sample.runs],
        "score": sample.score,
        "score_version": sample.score_version,
    }


def _digest(body: Any) -> str:
    return hashlib.sha256(msgspec.json.encode(body)).hexdigest()


__all__ = ["Batch", "LabelRun", "Sample", "add_run", "build_batch"]
