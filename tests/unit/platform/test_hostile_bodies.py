"""
Bodies that no peer should send are refused, not failed on.

A body of a few kilobytes that nests an unknown field deeper than the interpreter's limit raised
RecursionError where only DecodeError was expected. The operator's interface answered 500 to such a
configuration, where an invalid one must be refused with 400, and the operator sent it again and
again; a job or a heartbeat ended the same way. Evidence: each reader below raised RecursionError
for 5,000 levels, none for 900.
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
from ibisspring_core.routes import RouteTable
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
# Processor time of one body; a deadline by the wall clock would also count waiting for a core.
READ_WITHIN_S = 0.2
SPOILED = st.binary(max_size=3) | st.sampled_from([b"-1", b"1e999", b"{"])


def _route():
    return next(one for one in read_configuration(_bytes(configuration(1))).routes if one.job)


def _bytes(document: object) -> bytes:
    return json.dumps(document).encode()


def _job(data: bytes) -> object:
    return read_job("j", "forge", "scorer", _route(), data)


def _version(data: bytes) -> object:
    try:
        return decode_json(data, VersionPut)
    except msgspec.DecodeError:
        return None


READERS = {
    "configuration": (read_configuration, _bytes(configuration(1)), (RouteTable, tuple)),
    "job": (_job, _bytes(job(4, scored=True)), (Job, tuple)),
    "heartbeat": (lambda data: read_heartbeat("i", data), _bytes(HEARTBEAT), (EndpointRecord,)),
    "departure": (lambda data: read_departure("i", data), _bytes({"born": 1}), (Depart,)),
    "version": (_version, _bytes({"model": "m", "version": 2}), (VersionPut,)),
    "announcement": (parse_announcement, b"{}", (EndpointRecord, tuple)),
    "body": (lambda data: parse_body(data, VersionPut), b"{}", (VersionPut, Refusal)),
    "line": (parse_line, b"{}", (EngineLine,)),
    "state": (parse_state, b"{}", (RequestState,)),
    "not run": (says_not_run, b"{}", (bool,)),
}


def assert_read(name: str, data: bytes) -> None:
    """A reader answers with a value or with what is wrong."""
    reader, _, kinds = READERS[name]
    value = reader(data)
    assert value is None or isinstance(value, kinds)
    if isinstance(value, tuple):
        assert value
        assert all(isinstance(one, Finding) for one in value)


@pytest.mark.parametrize("depth", DEPTHS)
@pytest.mark.parametrize("name", READERS)
def test_a_body_that_nests_deeply_is_refused(name, depth) -> None:
    nested = b"[" * depth + b"]" * depth
    assert_read(name, nested)
    assert_read(name, b'{"unknown":' + nested + b"}")
    assert_read(name, b'{"unknown":' + b'{"a":' * depth + b"1" + b"}" * depth + b"}")


@pytest.mark.parametrize("name", READERS)
@settings(deadline=None)
@given(st.data())
def test_a_body_with_spoiled_bytes_is_refused_or_read(name, data) -> None:
    body = bytearray(READERS[name][1])
    for _ in range(data.draw(st.integers(1, 4))):
        begin = data.draw(st.integers(0, len(body)))
        end = min(len(body), begin + data.draw(st.integers(0, 3)))
        body[begin:end] = data.draw(SPOILED)
    began_s = time.thread_time()
    assert_read(name, bytes(body))
    assert time.thread_time() - began_s < READ_WITHIN_S
