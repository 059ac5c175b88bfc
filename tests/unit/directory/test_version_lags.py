from __future__ import annotations

from ibisspring_directory.version_lags import VersionLags


def test_the_first_job_of_a_model_sets_its_lag() -> None:
    lags = VersionLags()

    lags.update((("m", 6),), {"m": 7})

    assert lags.lag_by_model == {"m": 1}


def test_a_version_published_before_its_job_does_not_raise_the_lag() -> None:
    """
    Version 8 of a model is published while the newest job is still the one that allows version 6.

    If the lag were computed at this moment, it would allow engines to be two versions behind, and
    no engine would load version 8 before the job that needs this version is submitted.
    """
    lags = VersionLags()
    lags.update((("m", 6),), {"m": 7})

    lags.update((("m", 6),), {"m": 8})

    assert lags.lag_by_model == {"m": 1}


def test_a_job_that_allows_only_the_newest_version_sets_the_lag_to_zero() -> None:
    lags = VersionLags()
    lags.update((("m", 6),), {"m": 7})

    lags.update((("m", 8),), {"m": 8})

    assert lags.lag_by_model == {"m": 0}


def test_clear_removes_all_lags() -> None:
    lags = VersionLags()
    lags.update((("m", 6),), {"m": 7})

    lags.clear()

    assert lags.lag_by_model == {}
