from __future__ import annotations

import pytest

from ibisspring_core.rules import Rules, key_digest, parse_rules

ASKED = "# asked: archive desk, ticket 118"
DIGEST = key_digest("a-key")
OTHER = key_digest("another-key")
GOOD = f"""\
# Trentside
client_account forge key sha256:{DIGEST} key sha256:{OTHER} rate 40/s weight 2  {ASKED}
client_account trainers rate 5/s weight 1 burst 9  {ASKED}
allow forge service scorer-lm, archive-app  {ASKED}

trainer scan-reader client_account trainers  {ASKED}
staleness trainer scan-reader 2 versions  {ASKED}
share scorer-lm trainer scan-reader  {ASKED}
place scorer-lm in birmingham, derby count 5 cheap at-most 60%  {ASKED}
idempotent archive-app POST /search  {ASKED}
timeout archive-app 2.5 s  {ASKED}
"""


def test_valid_file_is_parsed_into_its_rules() -> None:
    rules = parse_rules(GOOD)

    assert isinstance(rules, Rules)
    assert rules.client_account_by_name["forge"].key_digests == (DIGEST, OTHER)
    assert rules.client_account_by_name["trainers"].burst == 9
    assert rules.allows("forge", "archive-app")
    assert not rules.allows("trainers", "archive-app")
    assert rules.trainer_by_name["scan-reader"].staleness_versions == 2
    assert rules.trainers_by_model == {"scorer-lm": ("scan-reader",)}
    assert rules.placement_by_service["scorer-lm"].cheap_share == 0.6
    assert rules.is_idempotent("archive-app", "POST", "/search/heat")
    assert not rules.is_idempotent("archive-app", "POST", "/tickets")
    assert rules.timeout_s_by_service["archive-app"] == 2.5


def test_valid_key_finds_its_client_account_and_withdrawn_key_none() -> None:
    rules = parse_rules(GOOD)
    withdrawn = parse_rules(GOOD.replace(f" key sha256:{OTHER}", ""))

    assert rules.client_account_of("another-key") == "forge"
    assert withdrawn.client_account_of("another-key") is None
    assert withdrawn.client_account_of("a-key") == "forge"


@pytest.mark.parametrize(
    ("rule", "column", "message"),
    [
        (f"allow forge service a {ASKED}", 7, "no rule defines client_account 'forge'"),
        ("timeout a 2 s", 14, "end the rule with '# asked: WHO, WHY'"),
        ("timeout a 2 s # asked: desk", 15, "end the rule with"),
        (f"time a 2 s {ASKED}", 1, "unknown rule 'time'"),
        (f"timeout a -2 s {ASKED}", 11, "expected the timeout, a number"),
        (f"timeout a 0 s {ASKED}", 11, "must be above 0"),
        (f"timeout a 2 s s {ASKED}", 15, "unexpected 's'"),
        (f"client_account a key sha256:12 rate 1/s weight 1 {ASKED}", 22, "64 lower-case"),
        (f"client_account a rate 1 weight 1 {ASKED}", 23, "such as 40/s"),
        (f"client_account a rate 1/s weight 1 burst 0.5 {ASKED}", 42, "at least 1"),
        (f"place a in b, b count 1 {ASKED}", 15, "stands here twice"),
        (f"place a in b count 1 cheap at-most 101% {ASKED}", 40, "at most 100%"),
        (f"idempotent a post {ASKED}", 14, "in capitals"),
        (f"share a trainer t {ASKED}", 17, "no rule defines trainer 't'"),
        (f"staleness trainer t two versions {ASKED}", 21, "a whole number"),
    ],
)
def test_faulty_rule_is_reported_at_its_column(rule: str, column: int, message: str) -> None:
    findings = parse_rules(f"\n{rule}\n")

    assert [(finding.line, finding.column) for finding in findings] == [(2, column)]
    assert message in findings[0].message


def test_all_findings_of_a_file_are_reported_together() -> None:
    text = (
        f"timeout a 1 s {ASKED}\n"
        f"timeout a 2 s {ASKED}\n"
        "nonsense\n"
        f"client_account b key sha256:{DIGEST} rate 1/s weight 1 {ASKED}\n"
        f"client_account c key sha256:{DIGEST} rate 1/s weight 1 {ASKED}\n"
        f"trainer t client_account b {ASKED}\n"
    )

    findings = parse_rules(text, "rules.txt")

    assert [(finding.line, finding.column) for finding in findings] == [
        (2, 1),
        (3, 1),
        (3, 9),
        (5, 1),
        (6, 1),
    ]
    assert str(findings[0]) == "rules.txt:2:1: timeout 'a' stands on line 1 already"
    assert "has no bound" in findings[-1].message
