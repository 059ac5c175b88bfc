"""
Versions of the rules file.

An operator applies a new version with the number of the version that it is based on. If another
version is in force by then, the new one is refused (compare-and-set).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ibisspring_core.errors import Reason
from ibisspring_core.messages.commands import (
    ApplyRules,
    Refused,
    RulesApplied,
    RulesConflict,
)
from ibisspring_core.rules import Rules, parse_rules

if TYPE_CHECKING:
    from ibisspring_control.state.moment import LogPosition

# Number of newest rules versions that are kept. They cover the versions that are accepted while an
# operator leaves a file open over lunch, on a day with 260 changes. A conflict can then show the
# changes since the version that the operator's file is based on.
MAX_KEPT_VERSIONS = 20
# Maximum numbers of changed lines and of errors in the answer to an operator.
MAX_CHANGED_LINES = 40
MAX_FINDINGS = 20


@dataclass(frozen=True)
class RulesVersion:
    """
    One accepted rules file.

    :param version: number of the version; each accepted file gets the next one.
    :param index: log index at which the version came into force.
    :param stamped_s: wall-clock seconds at which the file was accepted.
    """

    version: int
    index: int
    stamped_s: float
    operator: str
    text: str


@dataclass(frozen=True)
class RulesSnapshot:
    """The newest MAX_KEPT_VERSIONS rules versions, oldest first."""

    versions: tuple[RulesVersion, ...] = (RulesVersion(0, 0, 0.0, "", ""),)


class RuleVersions:
    """The rules in force and the versions before them."""

    def __init__(self, snapshot: RulesSnapshot) -> None:
        self.versions = list(snapshot.versions)
        self.rules = self._parse(self.current.text)

    @property
    def current(self) -> RulesVersion:
        """The rules version in force; version 0 is the empty file."""
        return self.versions[-1]

    def snapshot(self) -> RulesSnapshot:
        """Return the kept rules versions, oldest first."""
        return RulesSnapshot(tuple(self.versions))

    def apply(
        self, command: ApplyRules, position: LogPosition
    ) -> RulesApplied | RulesConflict | Refused:
        """Put a rules file in force if it is based on the current version and has no errors."""
        if command.base != self.current.version:
            return self._conflict(command.base)
        rules = parse_rules(command.text)
        if not isinstance(rules, Rules):
            detail = "\n".join(str(finding) for finding in rules[:MAX_FINDINGS])
            return Refused(Reason.BAD_REQUEST.value, detail)
        version = self.current.version + 1
        self.versions.append(
            RulesVersion(
                version, position.index, position.stamped_s, command.operator, command.text
            )
        )
        del self.versions[:-MAX_KEPT_VERSIONS]
        self.rules = rules
        return RulesApplied(version)

    def _conflict(self, base: int) -> RulesConflict:
        current = self.current
        for version in self.versions:
            if version.version == base:
                changed = _changed_lines(version.text, current.text)
                return RulesConflict(current.version, current.operator, changed)
        note = f"(base {base} is unknown or too old to compare)"
        return RulesConflict(current.version, current.operator, (note,))

    @staticmethod
    def _parse(text: str) -> Rules:
        rules = parse_rules(text)
        # A rules file that an older release accepted may have errors in a newer release. All
        # replicas must have the same rules, so the daemon must not start from such a snapshot
        # without rules; it fails instead.
        if not isinstance(rules, Rules):
            raise ValueError(f"the rules in the snapshot do not parse: {rules[0]}")
        return rules


def _changed_lines(old: str, new: str) -> tuple[str, ...]:
    old_lines = old.splitlines()
    new_lines = new.splitlines()
    removed = [f"- {line}" for line in old_lines if line not in set(new_lines)]
    added = [f"+ {line}" for line in new_lines if line not in set(old_lines)]
    changed = removed + added
    if len(changed) > MAX_CHANGED_LINES:
        omitted = len(changed) - MAX_CHANGED_LINES
        changed = [*changed[:MAX_CHANGED_LINES], f"(and {omitted} more lines)"]
    return tuple(changed)


__all__ = ["RuleVersions", "RulesSnapshot", "RulesVersion"]
