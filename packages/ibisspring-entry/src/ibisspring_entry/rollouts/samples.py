"""Samples with their label runs, and the batch that a trainer receives."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import Any

import msgspec

from ibisspring_core.messages.commands import SampleLabel


@dataclass(frozen=True)
class LabelRun:
    """
    A range of tokens and the weight version that made it, as the engine wrote it beside them.

    :param start: offset of the first token.
    :param end: offset behind the last token.
    """

    version: int
    start: int
    end: int


@dataclass(frozen=True)
class Sample:
    """
    A whole sample.

    :param sample: id, unique over steps, epochs and attempts; it is delivered at most once.
    :param member: number of the sample in its group, from 0.
    :param endpoint_s: seconds that engines worked on it, without its wait for a turn.
    :param score_version: version that the score is for; None without a scorer.
    """

    sample: str
    group: str
    member: int
    prompt: str
    tokens: tuple[int, ...]
    runs: tuple[LabelRun, ...]
    endpoint_s: float = 0.0
    score: float | None = None
    score_version: int | None = None

    def oldest_version(self) -> int:
        """Oldest weight version that made a token of the sample."""
        return min(run.version for run in self.runs)

    def newest_version(self) -> int:
        """Weight version that made the last tokens; scores are asked for it."""
        return self.runs[-1].version


@dataclass(frozen=True)
class Batch:
    """
    The samples of one step as they go to the trainer.

    :param digest: digest of the samples; names the payload in the log.
    :param payload: the answer's JSON, the same bytes at every resend.
    :param labels: what the log records of each sample.
    :param samples: the samples themselves.
    """

    digest: str
    payload: bytes
    labels: tuple[SampleLabel, ...]
    samples: tuple[Sample, ...]


def add_run(
    runs: tuple[LabelRun, ...], version: int | None, count: int
) -> tuple[LabelRun, ...] | None:
    """
    Append the label of `count` more tokens.

    A label that is missing is never filled from a neighbour or from what the engine was ordered to
    load: a swap may fall between any two chunks, and a guessed label would let a sample of old
    weights into training unseen.

    :param runs: label runs so far, without gaps.
    :param version: the version beside the tokens; None where the engine wrote none.
    :param count: number of tokens.
    :return: the joined runs, or None where the label is missing.
    """
    if version is None:
        return None
    start = runs[-1].end if runs else 0
    if runs and runs[-1].version == version:
        return (*runs[:-1], LabelRun(version, runs[-1].start, start + count))
    return (*runs, LabelRun(version, start, start + count))


def build_batch(trainer: str, step: int, samples: tuple[Sample, ...]) -> Batch:
    """
    Encode a whole batch.

    :param trainer: the trainer.
    :param step: number of its step.
    :param samples: every sample of the step, in the order of groups and members.
    :return: the batch.
    """
    bodies = tuple(_sample_body(sample) for sample in samples)
    digest = _digest(bodies)
    payload = msgspec.json.encode(
        {"trainer": trainer, "step": step, "digest": digest, "samples": bodies}
    )
    labels = tuple(
        SampleLabel(sample.sample, _digest(body), sample.oldest_version())
        for sample, body in zip(samples, bodies, strict=True)
    )
    return Batch(digest, payload, labels, samples)


def _sample_body(sample: Sample) -> dict[str, Any]:
    return {
        "sample": sample.sample,
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
