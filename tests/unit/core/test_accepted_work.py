from __future__ import annotations

from types import SimpleNamespace

import pytest

from ibisspring_core import accepted_work
from ibisspring_core.accepted_work import AcceptedWork
from ibisspring_core.request_identity import IdentifiedRequest
from ibisspring_decisions.crash_suspects import MAX_ITEM_PAUSE_S, MAX_SUSPECTS


class Clock:
    now = 10.0


@pytest.fixture
def clock(monkeypatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(accepted_work, "boot_now", lambda: clock.now)
    return clock


@pytest.fixture
def work(clock) -> AcceptedWork:
    return AcceptedWork(lambda path: IdentifiedRequest("r", "a", "POST", "h", path, b""))


def engine(number: int):
    return SimpleNamespace(endpoint=f"engine-{number}", incarnation=1)


def pause_s(work: AcceptedWork, path: str) -> float:
    refusal = work.refusal(path)
    return refusal.retry_after_s if refusal is not None else 0.0


def test_pause_grows_with_the_ends_and_is_bounded(work, clock) -> None:
    pauses = []
    for end in range(8):
        work.endpoint_ended("/a", engine(end))
        pauses.append(pause_s(work, "/a"))

    assert pauses[0] == 0.0
    assert pauses == sorted(pauses)
    assert pauses[-1] == MAX_ITEM_PAUSE_S
    assert pause_s(work, "/b") == 0.0
    clock.now += MAX_ITEM_PAUSE_S
    assert pause_s(work, "/a") == 0.0


def test_requests_of_one_identity_at_the_same_endpoint_count_once(work) -> None:
    # The samples of a group have the same prompt, and one crash ends all that an engine runs.
    for _ in range(8):
        work.endpoint_ended("/a", engine(1))

    assert work.ends("/a") == 1
    assert pause_s(work, "/a") == 0.0


def test_an_answer_ends_the_pause(work) -> None:
    for end in range(4):
        work.endpoint_ended("/a", engine(end))
    work.answered("/a")

    assert work.ends("/a") == 0
    assert pause_s(work, "/a") == 0.0


def test_number_of_identities_is_bounded(work) -> None:
    for number in range(MAX_SUSPECTS + 1):
        work.endpoint_ended(f"/{number}", engine(1))

    assert work.ends("/0") == 0
    assert work.ends(f"/{MAX_SUSPECTS}") == 1
