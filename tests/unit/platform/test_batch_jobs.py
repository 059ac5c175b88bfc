from __future__ import annotations

import base64
import json

from ibisspring_core.messages.job_reads import ResultsRead
from ibisspring_core.messages.jobs import (
    COMPLETED,
    ItemResult,
    Job,
    RewardCall,
)
from ibisspring_core.routes import ClientAccount, JobTerms, RepeatRule, Route, Share
from ibisspring_platform.batch_jobs import read_job, write_results
from ibisspring_platform.engines import EngineAdapter

ROUTE = Route(
    name="notes",
    host="ficu.example",
    prefix="/notes/",
    repeat=RepeatRule.JOB,
    shares=(Share("scorer", 1.0),),
    timeout_s=10.0,
    target_s=0.4,
    max_attempts=3,
    job=JobTerms(7.5, 40.0),
)
SCORER = {
    "id": "r1",
    "host": "ledger.example",
    "path": "/sync/1",
    "body": base64.b64encode(b"note").decode(),
}


def read_scored_job(*scorers: object) -> Job | tuple:
    items = [
        {"id": f"i{n}", "path": "/notes/1", "body": "", "scorer": scorer}
        for n, scorer in enumerate(scorers)
    ]
    return read_job(
        "j", ClientAccount("forge", ()), "scorer", ROUTE, json.dumps({"items": items}).encode()
    )


def test_reward_call_of_an_item_is_optional() -> None:
    job = read_scored_job(SCORER, None)

    assert job.items[0].reward == RewardCall("r1", "ledger.example", "/sync/1", b"note")
    assert job.items[1].reward is None


def test_invalid_reward_call_rejects_the_complete_job_and_names_the_field() -> None:
    # All faults must be reported together. If only the first one were, a trainer's author would
    # have to submit the job again to see the next fault.
    findings = read_scored_job(
        SCORER, {**SCORER, "path": "sync"}, {**SCORER, "body": "%"}, {**SCORER, "id": ""}
    )
    assert [finding.place for finding in findings] == [
        "items[1].scorer.path",
        "items[2].scorer.body",
        "items[3].scorer",
    ]

    (finding,) = read_scored_job({"id": "r1", "host": "ledger.example"})
    assert "items[0].scorer" in finding.message


def test_a_reward_call_carries_neither_key_nor_account() -> None:
    engine_wire = EngineAdapter()
    request = engine_wire.reward_request(read_scored_job(SCORER).items[0].reward, 7.0)

    assert (request.method, request.target, request.body) == ("POST", "/sync/1", b"note")
    assert request.headers == (("Host", "ledger.example"), ("Attempt-Id", "r1"))
    assert request.client_account == ""
    assert engine_wire.read_score((("Server-Stamp", "3e1b"),)) == "3e1b"


def test_only_scored_results_are_written_with_a_score() -> None:
    results = (
        ItemResult("i0", COMPLETED, "text", (1,), "3e1b"),
        ItemResult("i1", COMPLETED, "text", (1,)),
    )

    written = json.loads(write_results(0, ResultsRead(2, results)))["results"]

    assert written[0]["score"] == "3e1b"
    assert "score" not in written[1]
