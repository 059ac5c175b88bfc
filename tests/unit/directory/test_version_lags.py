from __future__ import annotations

from ibisspring_directory.version_lags import VersionLags


def test_the_lag_is_learnt_when_a_job_comes() -> None:
    lags = VersionLags()

    lags.take((("m", 6),), {"m": 7})

    assert lags.lag_by_model == {"m": 1}


def test_a_version_that_is_named_before_its_job_comes_allows_no_more() -> None:
    """
    Version 8 is named; for a moment the newest job is still the one that takes version 6.

    Read then, engines would seem to be allowed two versions of lag, and would not be made ready
    for the job that is about to come.
    """
    lags = VersionLags()
    lags.take((("m", 6),), {"m": 7})

    lags.take((("m", 6),), {"m": 8})

    assert lags.lag_by_model == {"m": 1}


def test_a_job_that_takes_only_the_newest_is_believed_at_once() -> None:
    lags = VersionLags()
    lags.take((("m", 6),), {"m": 7})

    lags.take((("m", 8),), {"m": 8})

    assert lags.lag_by_model == {"m": 0}


def test_a_new_leader_knows_no_lag() -> None:
    lags = VersionLags()
    lags.take((("m", 6),), {"m": 7})

    lags.clear()

    assert lags.lag_by_model == {}
