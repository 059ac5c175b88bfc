"""One attempt to generate one sample, with a weight version label for each run of tokens."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from ibisspring_decisions.sampling import is_stale
from ibisspring_entry.proxy import GenerateRequest, GenerationEnd, GenerationFailed, TokenRun
from ibisspring_entry.rollouts.samples import LabelRun, Sample, add_run

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisspring_core.errors import Reason


@dataclass(frozen=True)
class StalenessBound:
    """
    The staleness bound of a trainer at one moment.

    :param trainer_version: the trainer's newest weight version.
    :param max_versions_behind: how many versions a sample may be older than `trainer_version`.
    """

    trainer_version: int
    max_versions_behind: int

    def allows(self, oldest_version: int) -> bool:
        """Return whether a sample whose oldest label is `oldest_version` is fresh enough."""
        return not is_stale(oldest_version, self.trainer_version, self.max_versions_behind)


@dataclass(frozen=True)
class AttemptPlan:
    """
    The generation that one attempt at a sample runs.

    :param sample_id: id of the sample that the attempt produces; unique to the attempt, also when
        two attempts generate the same sample and the first complete one is used.
    """

    sample_id: str
    group: str
    member: int
    prompt: str
    request: GenerateRequest


class AttemptEngine:
    """
    The engine that runs an attempt and the version of its first tokens.

    The engine and the version are set while the attempt runs. A second attempt at the same sample
    avoids this engine.

    :param bound: the staleness bound when the attempt started.
    """

    def __init__(self, bound: StalenessBound) -> None:
        self._bound = bound
        self.endpoint = ""
        self.first_version: int | None = None

    def was_stale_at_start(self) -> bool:
        """Return whether the first tokens were already too old when the attempt started."""
        return self.first_version is not None and not self._bound.allows(self.first_version)

    def set_endpoint(self, endpoint: str) -> None:
        """Set the endpoint to which the generation request was sent."""
        self.endpoint = endpoint

    def set_version(self, version: int | None) -> None:
        """Set the version label of the first tokens; later calls have no effect."""
        if self.first_version is None:
            self.first_version = version


@dataclass(frozen=True)
class Discarded:
    """
    The result of an attempt that produced no sample.

    :param cause: `missing_label`, `stale`, `short` (no tokens, or another number than the stream's
        end states) or `failed`; counted as `samples.discarded.<cause>`.
    :param reason: why the generation failed, for `failed`.
    :param retry_after_s: seconds after which the endpoints asked for a retry.
    """

    cause: str
    reason: Reason | None = None
    retry_after_s: float | None = None


async def run_attempt(
    endpoints: Any,
    plan: AttemptPlan,
    current_bound: Callable[[], StalenessBound],
    engine: AttemptEngine,
) -> Sample | Discarded:
    """
    Generate one sample.

    :param endpoints: the kernel's service `endpoints`, which sends generations to engines.
    :param plan: the prompt and the request to generate from.
    :param current_bound: returns the staleness bound at the time of the call. An attempt whose
        tokens have become too old is cancelled at once to save engine time; the binding check is
        made when the delivery of the batch is committed.
    :param engine: receives the weight version of the first tokens.
    :return: the complete sample with its label runs, or the cause why no sample was produced.
    """
    tokens: list[int] = []
    runs: tuple[LabelRun, ...] = ()
    stream = endpoints.generate(plan.request)
    try:
        async for item in stream:
            if isinstance(item, GenerationFailed):
                return Discarded("failed", item.refusal.reason, item.refusal.retry_after_s)
            if isinstance(item, GenerationEnd):
                return _complete_sample(plan, tokens, runs, item)
            if not isinstance(item, TokenRun) or not item.tokens:
                continue
            engine.set_version(item.version)
            labelled = add_run(runs, item.version, len(item.tokens))
            if labelled is None:
                return Discarded("missing_label")
            runs = labelled
            tokens.extend(item.tokens)
            if not current_bound().allows(_oldest_version(runs)):
                return Discarded("stale")
    finally:
        await stream.aclose()
    return Discarded("short")


def _oldest_version(runs: tuple[LabelRun, ...]) -> int:
    return min(run.version for run in runs)


def _complete_sample(
    plan: AttemptPlan,
    tokens: list[int],
    runs: tuple[LabelRun, ...],
    end: GenerationEnd,
) -> Sample | Discarded:
    if end.total != len(tokens) or not tokens:
        return Discarded("short")
    return Sample(
        plan.sample_id, plan.group, plan.member, plan.prompt, tuple(tokens), runs, end.endpoint_s
    )


__all__ = ["AttemptPlan", "Discarded", "StalenessBound", "run_attempt"]
