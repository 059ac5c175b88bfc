"""How many weight versions an engine may be behind, learnt from the jobs that come."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisspring_decisions.version_hosts import allowed_lag

if TYPE_CHECKING:
    from collections.abc import Mapping


class VersionLags:
    """Allowed lag by model under one leader; 0 until its first job was heard of."""

    def __init__(self) -> None:
        self.lag_by_model: dict[str, int] = {}
        self._allowed_by_model: dict[str, int] = {}

    def clear(self) -> None:
        """Forget all, when this daemon becomes the leader."""
        self.lag_by_model.clear()
        self._allowed_by_model.clear()

    def take(self, allowed: tuple[tuple[str, int], ...], named: Mapping[str, int]) -> None:
        """
        Take in what the jobs' leader says.

        A model's lag is only looked at when its newest job changes: between the naming of the next
        version and the job that asks for it, an engine would seem to be allowed one version more.

        :param allowed: pairs of model and the oldest version that its newest job takes.
        :param named: newest version by model.
        """
        for model, oldest in allowed:
            if self._allowed_by_model.get(model) == oldest:
                continue
            self._allowed_by_model[model] = oldest
            self.lag_by_model[model] = allowed_lag(named.get(model, 0), oldest)


__all__ = ["VersionLags"]
