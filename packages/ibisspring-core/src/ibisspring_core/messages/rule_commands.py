"""Commands that replace the text of the rules file in force."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class ApplyRules:
    """
    Replace the rules in force, if their version is still `base`.

    :param base: version of the rules that the operator edited.
    :param text: complete text of the new rules file.
    :param operator: name of the operator who replaces the rules.
    """

    base: int
    text: str
    operator: str


@dataclass(frozen=True)
class RulesApplied:
    """Result of `ApplyRules`: the version of the new rules."""

    version: int


@dataclass(frozen=True)
class RulesConflict:
    """
    Result of `ApplyRules` if `base` is not the version in force.

    :param version: version of the rules in force.
    :param operator: name of the operator who applied this version.
    :param changed_lines: lines that differ between `base` and that version, with `- ` before a
        removed and `+ ` before an added line; a note in brackets if `base` is no longer stored.
    """

    version: int
    operator: str
    changed_lines: tuple[str, ...]


__all__ = [
    "ApplyRules",
    "RulesApplied",
    "RulesConflict",
]
