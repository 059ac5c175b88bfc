from __future__ import annotations

import json

from ibisspring_core.messages.directory import UNKNOWN_INCARNATION, Depart
from ibisspring_core.messages.jobs import Assignment, JobItem
from ibisspring_gateway.wire import CallerRequest, Event, ResponseKind
from ibisspring_platform.announcements import read_departure, read_heartbeat
from ibisspring_platform.engines import EngineAdapter, find_header

HEARTBEAT = {
    "service": "scorer",
    "address": "10.128.0.9:8080",
    "zone": "derby",
    "version": "v1",
    "slots": 12,
    "state": "ready",
    "cold_left_ms": 0,
    "models": [{"name": "m1", "version": 3, "adapters": []}],
    "sequence": 4,
    "born": 1_767_292_501_206,
}
WIRE = EngineAdapter()
REQUEST = CallerRequest(
    request_id="9c41",
    method="POST",
    target="/lookup/2f",
    headers=(
        ("host", "archive.example"),
        ("attempt-id", "9c41"),
        ("authorization", "Bearer k1"),
        ("tenant", "somebody-else"),
        ("request-urgency", "0"),
        ("connection", "keep-alive, x-hop"),
        ("x-hop", "1"),
        ("x-trace", "7"),
        ("deadline-ms", "2000"),
    ),
    body=b"",
    client_account="forge",
    remaining_s=2.0,
)
ANSWER = (("Attempt-Id", "9c41"), ("Server-Stamp", "3e1b"))


def read_changed_heartbeat(**changes):
    return read_heartbeat("i-1", json.dumps({**HEARTBEAT, **changes}).encode())


def test_heartbeat_is_translated_into_an_endpoint_record() -> None:
    record = read_changed_heartbeat()

    assert record.order() == (1_767_292_501_206, 4)
    assert record.state == "serving"
    assert record.version_by_adapter == {"m1": 3}
    assert record.load.capacity == 12
    assert read_changed_heartbeat(state="draining").state == "leaving"
    assert read_changed_heartbeat(spot=True).kind == "cheap"


def test_invalid_heartbeat_gives_no_record() -> None:
    # A sender that is not an engine announces something in another format. If its heartbeat were
    # accepted, requests would be sent to it.
    for changes in ({"state": "odd"}, {"address": 7}, {"sequence": "x"}, {"service": None}):
        assert read_changed_heartbeat(**changes) is None, changes
    assert read_heartbeat("i-1", b"\xff\x00") is None


def test_departure_without_a_body_ends_the_newest_start() -> None:
    # Engines deregister with an empty body. If it were rejected, they would retry for seconds and
    # then end while still registered, and requests would be sent to an address without an engine.
    assert read_departure("i-1", b"") == Depart("i-1", UNKNOWN_INCARNATION)
    assert read_departure("i-1", b'{"born": 7}') == Depart("i-1", 7)
    assert read_departure("i-1", b"{") is None


def test_the_account_sent_to_an_engine_comes_from_the_api_key_alone() -> None:
    # A caller sets the headers for client account, urgency or lease itself. If these were
    # forwarded, the engine would run the request for another client account and bill it to that
    # account. If the API key were forwarded, the engine could send requests on the caller's behalf.
    headers = WIRE.call_headers(REQUEST, read_changed_heartbeat(), 1.5)

    names = [name.lower() for name, _ in headers]
    assert find_header(headers, "tenant") == "forge"
    assert names.count("tenant") == 1
    assert find_header(headers, "expect-instance") == "i-1"
    assert find_header(headers, "deadline-ms") == "1500"
    assert find_header(headers, "x-trace") == "7"
    for name in ("authorization", "request-urgency", "connection", "x-hop"):
        assert name not in names


def test_responses_are_classified_by_status_and_headers() -> None:
    # A late extra answer arrives on a connection where the answer to the next request is expected.
    # If it were forwarded, a caller would receive another client account's data.
    def classify(status: int, *headers: tuple[str, str]) -> ResponseKind:
        return WIRE.classify_call_response(REQUEST, status, headers)

    assert classify(200, *ANSWER) is ResponseKind.ANSWERED
    assert classify(500, *ANSWER) is ResponseKind.ANSWERED
    assert classify(200, ("Attempt-Id", "other"), ANSWER[1]) is ResponseKind.OTHER_REQUEST
    assert classify(200, ANSWER[0]) is ResponseKind.OTHER_REQUEST
    assert classify(200) is ResponseKind.OTHER_REQUEST
    assert classify(503, ("Not-Executed", "1")) is ResponseKind.REJECTED
    assert classify(421, ("Instance-Id", "i-2")) is ResponseKind.OTHER_ENDPOINT


def test_run_headers_state_resume_position_and_weight_version() -> None:
    item = JobItem("e5b2", "/score/1", (("Model", "m1"), ("Tenant", "x")), b"", 900)
    assignment = Assignment(
        1, "j", item, "forge", "archive.example", "scorer", "i-1", 1, "10.0.0.1:80", 6, 12, 30.0
    )

    headers = WIRE.run_headers(assignment)

    assert find_header(headers, "attempt-id") == "e5b2"
    assert find_header(headers, "last-event-id") == "12"
    assert find_header(headers, "expect-version") == "6"
    assert find_header(headers, "tenant") == "forge"
    assert find_header(headers, "model") == "m1"


def test_events_are_parsed_with_their_weight_version() -> None:
    assert WIRE.read_event(b"id: 3\ndata: abc") == Event(3, "abc", None)
    assert WIRE.read_event(b"weight-versions: 8\nid: 4\ndata: d") == Event(4, "d", 8)
    assert WIRE.read_event(b"data: without a number") is None
    assert WIRE.read_event(b"id: 5\ndata: \xff") is None
