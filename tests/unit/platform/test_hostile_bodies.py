"""
Malformed and deeply nested request bodies are rejected and raise no unexpected exception.

A body of a few kilobytes may nest an unknown field deeper than the interpreter's recursion limit.
Without the guard of `decode_json`, decoding it would raise RecursionError where only DecodeError is
expected. The control API would answer such a configuration with 500 instead of the 400 of an
invalid configuration, and the operator would send it again and again; jobs and heartbeats would
fail in the same way. Without the guard, each reader below raises RecursionError at 5,000 levels
and none does at 900.
"""

from __future__ import annotations

import json
import time

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ibisspring_core.errors import Finding, Refusal
from ibisspring_core.json_input import decode_json
from ibisspring_core.messages.directory import Depart
from ibisspring_core.messages.endpoints import EndpointRecord
from ibisspring_core.messages.jobs import Job
from ibisspring_core.routes import ClientAccount, RouteTable
from ibisspring_entry.http.bodies import parse_body
from ibisspring_entry.proxy.engine_wire import (
    EngineLine,
    RequestState,
    parse_line,
    parse_state,
    says_not_run,
)
from ibisspring_entry.registry.announcement import parse_announcement
from ibisspring_platform.announcements import read_departure, read_heartbeat
from ibisspring_platform.batch_jobs import read_job
from ibisspring_platform.configuration import read_configuration
from ibisspring_platform.control_http import VersionPut
from integration.platform_system import configuration, job

DEPTHS = (900, 5_000, 200_000)
HEARTBEAT = {"service": "a", "address": "10.0.0.1:1", "state": "ready", "sequence": 1, "born": 1}
# Limit on the CPU time for one body; a wall-clock limit would include the time waiting for a core.
MAX_READ_CPU_S = 0.2
CORRUPT_BYTES = st.binary(max_size=3) | st.sampled_from([b"-1", b"1e999", b"{"])


def _job_route():
    return next(
        route for route in read_configuration(_encode(configuration(1))).routes if route.job
    )


def _encode(document: object) -> bytes:
    return json.dumps(document).encode()


def _read_job(data: bytes) -> object:
    return read_job("j", ClientAccount("forge", ()), "scorer", _job_route(), data)


def _read_version(data: bytes) -> object:
    try:
        return decode_json(data, VersionPut)
    except msgspec.DecodeError:
        return None


READERS = {
    "configuration": (read_configuration, _encode(configuration(1)), (RouteTable, tuple)),
    "job": (_read_job, _encode(job(4, scored=True)), (Job, tuple)),
    "heartbeat": (lambda data: read_heartbeat("i", data), _encode(HEARTBEAT), (EndpointRecord,)),
    "departure": (lambda data: read_departure("i", data), _encode({"born": 1}), (Depart,)),
    "version": (_read_version, _encode({"model": "m", "version": 2}), (VersionPut,)),
    "announcement": (parse_announcement, b"{}", (EndpointRecord, tuple)),
    "body": (lambda data: parse_body(data, VersionPut), b"{}", (VersionPut, Refusal)),
    "line": (parse_line, b"{}", (EngineLine,)),
    "state": (parse_state, b"{}", (RequestState,)),
    "not run": (says_not_run, b"{}", (bool,)),
}


def assert_value_or_findings(name: str, data: bytes) -> None:
    """Check that a reader returns a value of its types, None, or a non-empty tuple of findings."""
    reader, _, types = READERS[name]
    value = reader(data)
    assert value is None or isinstance(value, types)
    if isinstance(value, tuple):
        assert value
        assert all(isinstance(finding, Finding) for finding in value)


@pytest.mark.parametrize("depth", DEPTHS)
@pytest.mark.parametrize("name", READERS)
def test_a_body_that_nests_deeply_is_refused(name, depth) -> None:
    nested = b"[" * depth + b"]" * depth
    assert_value_or_findings(name, nested)
    assert_value_or_findings(name, b'{"unknown":' + nested + b"}")
    assert_value_or_findings(name, b'{"unknown":' + b'{"a":' * depth + b"1" + b"}" * depth + b"}")


@pytest.mark.parametrize("name", READERS)
@settings(deadline=None)
@given(st.data())
def test_a_body_with_corrupt_bytes_is_refused_or_read(name, data) -> None:
    body = bytearray(READERS[name][1])
    for _ in range(data.draw(st.integers(1, 4))):
        begin = data.draw(st.integers(0, len(body)))
        end = min(len(body), begin + data.draw(st.integers(0, 3)))
        body[begin:end] = data.draw(CORRUPT_BYTES)
    started_s = time.thread_time()
    assert_value_or_findings(name, bytes(body))
    assert time.thread_time() - started_s < MAX_READ_CPU_S


def test_a_job_whose_base64_is_not_ascii_is_refused() -> None:
    # The decoder raises another error for such a text than for other invalid ones, and the request
    # was answered 500.
    body = job(1)
    body["items"][0]["body"] = "\u00e9"

    findings = _read_job(_encode(body))

    assert [finding.place for finding in findings] == ["items[0].body"]
