"""Commands that change the rules in force."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class ApplyRules:
    """
    Put a rules file in force by compare-and-set.

    :param base: the version that the operator edited.
    :param text: the whole file.
    :param operator: who applies it.
    """

    base: int
    text: str
    operator: str


@dataclass(frozen=True)
class RulesApplied:
    """Result of `ApplyRules`: the new version."""

    version: int


@dataclass(frozen=True)
class RulesConflict:
    """Result of `ApplyRules` under an old base: who changed what since."""

    version: int
    operator: str
    changed_lines: tuple[str, ...]


__all__ = [
    "ApplyRules",
    "RulesApplied",
    "RulesConflict",
]
