from __future__ import annotations

import json

import pytest

from fakes.trainer import step_body
from ibisspring_core.errors import Reason, Refusal
from ibisspring_entry.http.bodies import parse_body
from ibisspring_entry.rollouts.step_request import StepRequest, check_step_request


def test_the_same_body_is_the_same_step() -> None:
    body = step_body("scorer-lm", 2, 4, 16)
    first = parse_body(json.dumps(body).encode(), StepRequest)
    second = parse_body(json.dumps(body, indent=2).encode(), StepRequest)

    assert first.digest() == second.digest()
    assert first.sample_count() == 8
    assert check_step_request(first) is None


@pytest.mark.parametrize(
    ("change", "said"),
    [
        ({"group_size": 0}, "group_size"),
        ({"groups": []}, "groups must not be empty"),
        ({"groups": [{"group": "a", "prompt": ""}] * 2}, "name of its own"),
        ({"max_tokens": 0}, "max_tokens"),
    ],
)
def test_a_bad_body_is_refused_with_what_is_wrong(change: dict[str, object], said: str) -> None:
    body = {**step_body("scorer-lm", 2, 4, 16), **change}

    refusal = check_step_request(parse_body(json.dumps(body).encode(), StepRequest))

    assert isinstance(refusal, Refusal)
    assert refusal.reason is Reason.BAD_REQUEST
    assert said in refusal.detail
