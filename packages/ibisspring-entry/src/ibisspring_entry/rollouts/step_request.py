"""The request body with which a trainer opens a step, and its validation."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

import msgspec

from ibisspring_core.errors import Reason, Refusal

MAX_SAMPLES = 65_536
MAX_GROUP_SIZE = 1024


@dataclass(frozen=True)
class GroupRequest:
    """A prompt whose samples are useful for training only as a complete group."""

    group: str
    prompt: str


@dataclass(frozen=True)
class StepRequest:
    """
    The request body of a step.

    :param model: service whose engines generate the samples.
    :param group_size: number of samples per group.
    :param max_tokens: maximum length of a sample in tokens.
    :param scorer: name of the scoring service; empty for samples without scores.
    """

    model: str
    group_size: int
    max_tokens: int
    groups: tuple[GroupRequest, ...]
    scorer: str = ""

    def sample_count(self) -> int:
        """Return the number of samples in the complete batch."""
        return self.group_size * len(self.groups)

    def digest(self) -> str:
        """Return the request's digest; the same step with a different digest is a conflict."""
        return hashlib.sha256(msgspec.json.encode(self)).hexdigest()


def check_step_request(request: StepRequest) -> Refusal | None:
    """
    Check the limits of a trainer's step request that the field types do not express.

    :return: a refusal that describes the error, or None if the request is valid.
    """
    if not 1 <= request.group_size <= MAX_GROUP_SIZE:
        return _bad_request(f"group_size must be from 1 to {MAX_GROUP_SIZE}")
    if request.max_tokens < 1:
        return _bad_request("max_tokens must be 1 or more")
    if not request.groups:
        return _bad_request("groups must not be empty")
    if len({group.group for group in request.groups}) != len(request.groups):
        return _bad_request("the names of the groups must be unique")
    if request.sample_count() > MAX_SAMPLES:
        return _bad_request(f"a step can have at most {MAX_SAMPLES} samples")
    return None


def _bad_request(detail: str) -> Refusal:
    return Refusal(Reason.BAD_REQUEST, not_run=True, detail=detail)


__all__ = ["GroupRequest", "StepRequest", "check_step_request"]
