"""
The lag of each model: how many weight versions an engine may be behind the newest published one.

The lags are derived from the oldest versions that the trainers' jobs allow. With a lag of one
version, the service `engine_loads` has each engine load only every other version.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisspring_decisions.version_hosts import allowed_lag

if TYPE_CHECKING:
    from collections.abc import Mapping


class VersionLags:
    """
    Allowed lag by model during one term of the directory's leader.

    A model has no lag, which callers read as 0, until the jobs' leader reports its first job.
    """

    def __init__(self) -> None:
        self.lag_by_model: dict[str, int] = {}
        self._allowed_by_model: dict[str, int] = {}

    def clear(self) -> None:
        """Remove all lags when this daemon becomes the directory's leader."""
        self.lag_by_model.clear()
        self._allowed_by_model.clear()

    def update(
        self, allowed: tuple[tuple[str, int], ...], newest_by_model: Mapping[str, int]
    ) -> None:
        """
        Update the lags from a renewal of the jobs' leader.

        A model's lag is recomputed only when the oldest version that its newest job allows changes.
        If it were recomputed between the publication of the next version and the submission of the
        job that needs this version, the lag would be one version too large.

        :param allowed: pairs of model and the oldest weight version that its newest job allows.
        :param newest_by_model: by model, the newest weight version that trainers published.
        """
        for model, oldest in allowed:
            if self._allowed_by_model.get(model) == oldest:
                continue
            self._allowed_by_model[model] = oldest
            self.lag_by_model[model] = allowed_lag(newest_by_model.get(model, 0), oldest)


__all__ = ["VersionLags"]
