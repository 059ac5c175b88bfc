from __future__ import annotations

from ibisspring_core.accepted_work import AcceptedWork
from ibisspring_decisions.crash_suspects import MAX_ITEM_PAUSE_S, MAX_SUSPECTS


def test_pause_grows_with_the_ends_and_is_bounded() -> None:
    work = AcceptedWork()
    pauses = []
    for end in range(8):
        work.endpoint_ended("a", (f"engine-{end}", 1), 10.0)
        pauses.append(work.pause_left_s("a", 10.0))

    assert pauses[0] == 0.0
    assert pauses == sorted(pauses)
    assert pauses[-1] == MAX_ITEM_PAUSE_S
    assert work.pause_left_s("a", 10.0 + MAX_ITEM_PAUSE_S) == 0.0
    assert work.pause_left_s("b", 10.0) == 0.0


def test_requests_of_one_identity_at_the_same_endpoint_count_once() -> None:
    # The samples of a group have the same prompt, and one crash ends all that an engine runs.
    work = AcceptedWork()
    for _ in range(8):
        work.endpoint_ended("a", ("engine-1", 1), 10.0)

    assert work.ends("a") == 1
    assert work.pause_left_s("a", 10.0) == 0.0


def test_an_answer_ends_the_pause() -> None:
    work = AcceptedWork()
    for end in range(4):
        work.endpoint_ended("a", (f"engine-{end}", 1), 10.0)
    work.answered("a")

    assert not work
    assert work.pause_left_s("a", 10.0) == 0.0


def test_number_of_identities_is_bounded() -> None:
    work = AcceptedWork()
    for number in range(MAX_SUSPECTS + 1):
        work.endpoint_ended(str(number), ("engine-1", 1), 10.0)

    assert work.ends("0") == 0
    assert work.ends(str(MAX_SUSPECTS)) == 1
