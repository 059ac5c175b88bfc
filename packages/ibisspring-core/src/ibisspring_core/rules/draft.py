"""Collects the rules of a file while it is parsed, and checks references between lines."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from ibisspring_core.rules.model import Rules, Trainer

if TYPE_CHECKING:
    from ibisspring_core.rules.line import RuleLine
    from ibisspring_core.rules.model import ClientAccount, IdempotentCall, Placement


@dataclass(frozen=True)
class Reference:
    """
    A name that is used on one line and must be defined by another.

    :param kind: kind of the name, such as `trainer`.
    :param name: the name.
    :param line: the line that uses the name.
    :param column: column of the name, from 1.
    """

    kind: str
    name: str
    line: RuleLine
    column: int


class Draft:
    """The rules of the lines of a rules file that are parsed so far."""

    def __init__(self) -> None:
        self.client_account_by_name: dict[str, ClientAccount] = {}
        self.services_by_client_account: dict[str, set[str]] = {}
        self.client_account_by_trainer: dict[str, str] = {}
        self.staleness_by_trainer: dict[str, int] = {}
        self.trainers_by_model: dict[str, tuple[str, ...]] = {}
        self.placement_by_service: dict[str, Placement] = {}
        self.idempotent_calls_by_service: dict[str, tuple[IdempotentCall, ...]] = {}
        self.timeout_s_by_service: dict[str, float] = {}
        self.references: list[Reference] = []
        self._line_by_definition: dict[tuple[str, str], RuleLine] = {}

    def define(self, line: RuleLine, kind: str, name: str) -> bool:
        """
        Record the definition of a name that may be defined only once.

        :param line: the line that defines the name.
        :param kind: kind of the name, such as `trainer`.
        :return: False, after reporting a finding, if an earlier line defines the name.
        """
        earlier = self._line_by_definition.get((kind, name))
        if earlier is not None:
            line.report(f"{kind} {name!r} stands on line {earlier.number} already", 1)
            return False
        self._line_by_definition[(kind, name)] = line
        return True

    def refer(self, line: RuleLine, kind: str, name: str) -> None:
        """Record that a line uses a name, which some line of the file must define."""
        column = next((at for token, at in line.tokens[1:] if token == name), 1)
        self.references.append(Reference(kind, name, line, column))

    def check(self) -> None:
        """Report names that no line defines and trainers without a staleness bound."""
        for reference in self.references:
            if (reference.kind, reference.name) in self._line_by_definition:
                continue
            message = f"no rule defines {reference.kind} {reference.name!r}"
            reference.line.report(message, reference.column)
        for trainer in self.client_account_by_trainer:
            if trainer in self.staleness_by_trainer:
                continue
            line = self._line_by_definition[("trainer", trainer)]
            line.report(f"add 'staleness trainer {trainer} N versions': it has no bound", 1)

    def rules(self) -> Rules:
        """Return the complete rules; call this only if no finding was reported."""
        trainer_by_name = {
            name: Trainer(name, account, self.staleness_by_trainer[name])
            for name, account in self.client_account_by_trainer.items()
        }
        services: dict[str, Any] = {
            name: frozenset(allowed) for name, allowed in self.services_by_client_account.items()
        }
        return Rules(
            client_account_by_name=self.client_account_by_name,
            services_by_client_account=services,
            trainer_by_name=trainer_by_name,
            trainers_by_model=self.trainers_by_model,
            placement_by_service=self.placement_by_service,
            idempotent_calls_by_service=self.idempotent_calls_by_service,
            timeout_s_by_service=self.timeout_s_by_service,
        )


__all__ = ["Draft"]
