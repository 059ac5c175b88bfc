"""The body with which a trainer opens a step, checked."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

import msgspec

from ibisspring_core.errors import Reason, Refusal

MAX_SAMPLES = 65_536
MAX_GROUP_SIZE = 1024


@dataclass(frozen=True)
class GroupRequest:
    """A prompt whose samples are only worth something together."""

    group: str
    prompt: str


@dataclass(frozen=True)
class StepRequest:
    """
    What a trainer asks for.

    :param model: service whose engines generate.
    :param group_size: samples a group.
    :param max_tokens: longest sample.
    :param scorer: scoring service; empty for samples without scores.
    """

    model: str
    group_size: int
    max_tokens: int
    groups: tuple[GroupRequest, ...]
    scorer: str = ""

    def sample_count(self) -> int:
        """Samples in the whole batch."""
        return self.group_size * len(self.groups)

    def digest(self) -> str:
        """Digest of the request: the same body again is the same step, another is a conflict."""
        return hashlib.sha256(msgspec.json.encode(self)).hexdigest()


def check_step_request(request: StepRequest) -> Refusal | None:
    """
    Check what the types cannot say.

    :param request: from a trainer.
    :return: what is wrong, or None.
    """
    if not 1 <= request.group_size <= MAX_GROUP_SIZE:
        return _bad(f"group_size must be from 1 to {MAX_GROUP_SIZE}")
    if request.max_tokens < 1:
        return _bad("max_tokens must be 1 or more")
    if not request.groups:
        return _bad("groups must not be empty")
    if len({group.group for group in request.groups}) != len(request.groups):
        return _bad("each group needs a name of its own")
    if request.sample_count() > MAX_SAMPLES:
        return _bad(f"a step has {MAX_SAMPLES} samples at most")
    return None


def _bad(detail: str) -> Refusal:
    return Refusal(Reason.BAD_REQUEST, not_run=True, detail=detail)


__all__ = ["GroupRequest", "StepRequest", "check_step_request"]
