from __future__ import annotations

import json

import pytest

from fakes.trainer import step_body
from ibisspring_core.errors import Reason, Refusal
from ibisspring_entry.http.bodies import parse_body
from ibisspring_entry.rollouts.step_request import StepRequest, check_step_request


def test_digest_is_independent_of_json_formatting() -> None:
    body = step_body("scorer-lm", 2, 4, 16)
    first = parse_body(json.dumps(body).encode(), StepRequest)
    second = parse_body(json.dumps(body, indent=2).encode(), StepRequest)

    assert first.digest() == second.digest()
    assert first.sample_count() == 8
    assert check_step_request(first) is None


@pytest.mark.parametrize(
    ("change", "expected_detail"),
    [
        ({"group_size": 0}, "group_size"),
        ({"groups": []}, "groups must not be empty"),
        ({"groups": [{"group": "a", "prompt": ""}] * 2}, "names of the groups must be unique"),
        ({"max_tokens": 0}, "max_tokens"),
    ],
)
def test_invalid_body_is_refused_with_the_error(
    change: dict[str, object], expected_detail: str
) -> None:
    body = {**step_body("scorer-lm", 2, 4, 16), **change}

    refusal = check_step_request(parse_body(json.dumps(body).encode(), StepRequest))

    assert isinstance(refusal, Refusal)
    assert refusal.reason is Reason.BAD_REQUEST
    assert expected_detail in refusal.detail
