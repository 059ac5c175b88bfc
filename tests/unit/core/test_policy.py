from __future__ import annotations

from ibisspring_core.settings.policy import LoadPolicy, parse_policy


def test_an_empty_policy_switches_nothing_on() -> None:
    assert parse_policy("", "policy") == LoadPolicy()


def test_switches_and_limits_are_read_together() -> None:
    policy = parse_policy("admission, shares,most_engines=40, most_price=2.5", "policy")

    assert policy == LoadPolicy(admission=True, shares=True, most_engines=40, most_price=2.5)


def test_all_faults_of_a_policy_are_reported_together() -> None:
    # A misspelt switch would otherwise be left off without a word, and its operator would rely on
    # a decision that is not in force.
    findings = parse_policy("admision, most_engines=many, shares", "policy")

    assert [finding.place for finding in findings] == ["policy", "policy"]
    assert "'admision'" in findings[0].message
    assert "'most_engines=many'" in findings[1].message
