"""The identity of a request: equal for what its caller sends again, different for all else."""

from __future__ import annotations

from dataclasses import replace

import pytest

from ibisspring_gateway.crash_suspects import identified
from ibisspring_gateway.wire import CallerRequest

REQUEST = CallerRequest("r1", "POST", "/lookup/7?a=1", (("Host", "a"),), b"body", "forge", 2.0)


def test_a_repetition_has_the_same_identity() -> None:
    headers = (("Accept", "*/*"), *REQUEST.headers)
    repetition = replace(REQUEST, request_id="r2", remaining_s=0.5, headers=headers)

    assert identified(repetition).identity() == identified(REQUEST).identity()


@pytest.mark.parametrize(
    "change",
    [
        {"method": "PUT"},
        {"target": "/lookup/7?a=2"},
        {"headers": (("Host", "b"),)},
        {"body": b"body "},
        {"client_account": "mill"},
        # Digested without their lengths, method and target would give the same bytes.
        {"method": "POST/", "target": "lookup/7?a=1"},
    ],
)
def test_another_request_has_another_identity(change) -> None:
    assert identified(replace(REQUEST, **change)).identity() != identified(REQUEST).identity()
