"""The operators' commands for jobs, with the answers of the jobs' leader given by the test."""

from __future__ import annotations

import json

import pytest
from click.testing import CliRunner

from ibisspring_cli import accounts, jobs
from ibisspring_cli.main import main
from ibisspring_cli.session import (
    EXIT_CONFLICT,
    EXIT_REFUSED,
    EXIT_UNKNOWN,
    EXIT_UNREACHABLE,
)
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.messages.job_control import (
    AccountShare,
    ChangeHold,
    EndAnyJob,
    HoldChanged,
    JobRead,
    ReadJob,
    SharesRead,
    WaitCause,
)
from ibisspring_core.messages.jobs import JobEnded, UnknownJob

SHARE = AccountShare("scorer", "forge", 12.5, 4, 2)
READ = JobRead(
    job="lot1",
    client_account="forge",
    service="scorer",
    model="m",
    priority=1,
    held=False,
    hold_request="r0",
    ended=False,
    total=8,
    listed=2,
    running=4,
    waiting=2,
    complete_groups=1,
    wanted_groups=3,
    due_in_s=4.5,
    give_up_in_s=30.0,
    causes=(WaitCause("no_free_slot", 2),),
    predicted_end_in_s=None,
    share=SHARE,
)


class Leader:
    """Answers each message by its type, and keeps the messages."""

    def __init__(self, **answers) -> None:
        self.answers = {"ReadJob": READ, **answers}
        self.messages: list = []

    def __call__(self, seeds, message, timeout_s):
        self.messages.append(message)
        return self.answers[type(message).__name__]


@pytest.fixture
def run(monkeypatch):
    def run(leader: Leader, *words: str):
        monkeypatch.setattr(jobs, "call_jobs_leader", leader)
        monkeypatch.setattr(accounts, "call_jobs_leader", leader)
        return CliRunner().invoke(main, [*words, "--seeds", "127.0.0.1:9"])

    return run


def test_a_hold_names_the_newest_request_that_was_read(run) -> None:
    # By this name a copy of the request that arrives after later ones is recognised as stale.
    leader = Leader(ChangeHold=HoldChanged("lot1", True, "r1", 4, 2))

    result = run(leader, "jobs", "hold", "lot1", "--request-id", "r1")

    assert (result.exit_code, result.output) == (0, "lot1: held, 4 running, 2 waiting\n")
    assert leader.messages == [ReadJob("lot1"), ChangeHold("lot1", True, "r1", "r0")]


def test_each_request_gets_an_id_of_its_own(run) -> None:
    leader = Leader(ChangeHold=HoldChanged("lot1", False, "r1", 4, 2))

    run(leader, "jobs", "release", "lot1")
    run(leader, "jobs", "release", "lot1")

    requests = {one.request for one in leader.messages if isinstance(one, ChangeHold)}
    assert len(requests) == 2


@pytest.mark.parametrize(
    ("answer", "code"),
    [
        (UnknownJob(), EXIT_REFUSED),
        (Refusal(Reason.BAD_REQUEST, True, None, "job lot1 has ended"), EXIT_REFUSED),
        (Refusal(Reason.CONFLICT, True, None, "another request came first"), EXIT_CONFLICT),
        (Refusal(Reason.NO_LEADER, False, 0.1, "no leader answered"), EXIT_UNKNOWN),
        (Refusal(Reason.NO_LEADER, True, None, "no control leader"), EXIT_UNREACHABLE),
    ],
)
def test_each_failure_has_its_exit_code(run, answer, code) -> None:
    result = run(Leader(ChangeHold=answer), "jobs", "hold", "lot1", "--json")

    assert result.exit_code == code
    assert "error" in json.loads(result.output)


def test_an_end_without_an_answer_prints_the_command_for_the_retry(run) -> None:
    leader = Leader(EndAnyJob=Refusal(Reason.NO_LEADER, False, 0.1, "no leader answered"))

    result = run(leader, "jobs", "end", "lot1", "--request-id", "r1")

    assert result.exit_code == EXIT_UNKNOWN
    assert "ibisspring jobs end lot1 --request-id r1" in result.output


def test_an_end_is_sent_once_without_a_read(run) -> None:
    leader = Leader(EndAnyJob=JobEnded())

    assert run(leader, "jobs", "end", "lot1", "--request-id", "r1").exit_code == 0
    assert leader.messages == [EndAnyJob("lot1", "r1")]


def test_a_read_without_a_leader_changes_nothing(run) -> None:
    leader = Leader(ReadJob=Refusal(Reason.NO_LEADER, False, 0.1, "no leader answered"))

    assert run(leader, "jobs", "show", "lot1").exit_code == EXIT_UNREACHABLE


def test_show_prints_why_items_wait_and_the_share(run) -> None:
    result = run(Leader(), "jobs", "show", "lot1")

    assert "waits: no_free_slot (2 engines)" in result.output
    assert "1 groups complete, 3 wanted" in result.output
    assert "forge at scorer: 12.5 slot-seconds used, 4 slots in use" in result.output


def test_shares_are_listed_by_account(run) -> None:
    leader = Leader(ReadShares=SharesRead((SHARE,)))

    result = run(leader, "accounts", "shares", "--json")

    assert json.loads(result.output)["shares"][0]["used_s"] == 12.5


def test_a_system_without_control_is_reported() -> None:
    arguments = ["--timeout", "0.3", "jobs", "list", "--seeds", "127.0.0.1:9", "--json"]
    result = CliRunner().invoke(main, arguments)

    assert result.exit_code == EXIT_UNREACHABLE
    assert "127.0.0.1:9" in json.loads(result.output)["error"]["message"]
