"""One attempt at one sample: a generation whose labels are taken run by run."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from ibisspring_decisions.sampling import is_stale
from ibisspring_entry.proxy import End, Failed, GenerateRequest, TokenRun
from ibisspring_entry.rollouts.samples import LabelRun, Sample, add_run

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisspring_core.errors import Reason


@dataclass(frozen=True)
class Bound:
    """
    The staleness bound as it stands now.

    :param trainer_version: the trainer's newest weight version.
    :param versions: how many versions a sample may be behind it.
    """

    trainer_version: int
    versions: int

    def allows(self, oldest_version: int) -> bool:
        """Whether a sample whose oldest token was made by that version is fresh enough."""
        return not is_stale(oldest_version, self.trainer_version, self.versions)


@dataclass(frozen=True)
class AttemptPlan:
    """
    What one attempt generates.

    :param sample: id of the sample that it makes, its own also in a race.
    """

    sample: str
    group: str
    member: int
    prompt: str
    request: GenerateRequest


class EngineInUse:
    """
    Where an attempt runs, filled as its tokens come; a race goes elsewhere.

    :param bound: the staleness bound when the attempt began.
    """

    def __init__(self, bound: Bound) -> None:
        self._bound = bound
        self.endpoint = ""
        self.first_version: int | None = None

    def is_disproved(self) -> bool:
        """Whether the first tokens were too old already when the attempt began."""
        return self.first_version is not None and not self._bound.allows(self.first_version)

    def note_endpoint(self, endpoint: str) -> None:
        """Note where the generation is tried."""
        self.endpoint = endpoint

    def note_version(self, version: int | None) -> None:
        """Note the label of tokens."""
        if self.first_version is None:
            self.first_version = version


@dataclass(frozen=True)
class Discarded:
    """
    An attempt that made no sample.

    :param cause: `missing_label`, `stale`, `short` or `failed`; counted as
        `samples.discarded.<cause>`.
    :param reason: why the generation failed, for `failed`.
    :param retry_after_s: when the endpoints said that another try helps.
    """

    cause: str
    reason: Reason | None = None
    retry_after_s: float | None = None


async def run_attempt(
    endpoints: Any, plan: AttemptPlan, bound: Callable[[], Bound], engine: EngineInUse
) -> Sample | Discarded:
    """
    Generate one sample.

    :param endpoints: the kernel's `endpoints`.
    :param plan: what to generate.
    :param bound: the staleness bound at the moment of the call; a sample that has become too old is
        given up at once, before it costs more. The check that counts is made at the delivering
        commit.
    :param engine: told which engine the tokens come from.
    :return: the whole sample with its label runs, or why there is none.
    """
    tokens: list[int] = []
    runs: tuple[LabelRun, ...] = ()
    stream = endpoints.generate(plan.request)
    try:
        async for item in stream:
            if isinstance(item, Failed):
                return Discarded("failed", item.refusal.reason, item.refusal.retry_after_s)
            if isinstance(item, End):
                return _finish(plan, tokens, runs, item)
            if not isinstance(item, TokenRun) or not item.tokens:
                continue
            engine.note_version(item.version)
            labelled = add_run(runs, item.version, len(item.tokens))
            if labelled is None:
                return Discarded("missing_label")
            runs = labelled
            tokens.extend(item.tokens)
            if not bound().allows(_oldest(runs)):
                return Discarded("stale")
    finally:
        await stream.aclose()
    return Discarded("short")


def _oldest(runs: tuple[LabelRun, ...]) -> int:
    return min(run.version for run in runs)


def _finish(
    plan: AttemptPlan,
    tokens: list[int],
    runs: tuple[LabelRun, ...],
    end: End,
) -> Sample | Discarded:
    if end.total != len(tokens) or not tokens:
        return Discarded("short")
    return Sample(
        plan.sample, plan.group, plan.member, plan.prompt, tuple(tokens), runs, end.endpoint_s
    )


__all__ = ["AttemptPlan", "Bound", "Discarded", "run_attempt"]
