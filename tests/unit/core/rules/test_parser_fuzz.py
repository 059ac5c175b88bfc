from __future__ import annotations

import os

from hypothesis import given, settings
from hypothesis import strategies as st

from ibisspring_core.rules import Rules, parse_rules

EXAMPLES = 20_000 if os.environ.get("IBISSPRING_FUZZ") else 300
WORDS = st.sampled_from(
    ["client_account", "allow", "trainer", "share", "staleness", "place", "idempotent", "timeout"]
    + ["service", "key", "rate", "weight", "burst", "in", "count", "cheap", "at-most", "versions"]
    + ["a", "b", "1", "0", "-1", "40/s", "60%", "101%", "s", ",", "POST", "/x", "# asked: a, b"]
    + ["sha256:" + "0" * 64, "sha256:" + "f" * 64, "\x00", "é", "9" * 400, "#", "\t"]
)
LINES = st.lists(WORDS, max_size=12).map(" ".join)
TEXTS = st.lists(LINES, max_size=8).map("\n".join) | st.text(max_size=200)


@settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
@given(TEXTS)
def test_fuzz_any_text_gives_rules_or_findings_with_positions(text: str) -> None:
    parsed = parse_rules(text)

    if isinstance(parsed, Rules):
        return
    lines = text.splitlines()
    assert parsed
    for finding in parsed:
        assert 1 <= finding.line <= len(lines)
        assert 1 <= finding.column <= len(lines[finding.line - 1]) + 1
