"""Runs one item of a job at one engine and reads the events that the engine streams."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import aiohttp

from ibisspring_core.clock import boot_now
from ibisspring_core.connections import check_end_of_body, headers_of, is_refused
from ibisspring_core.http_sessions import ends_with_connection
from ibisspring_core.messages.jobs import FAILED, IMPOSSIBLE, PART, Outcome
from ibisspring_core.portions import count_within
from ibisspring_gateway.wire import ResponseKind

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ibisspring_core.connections import Connections
    from ibisspring_core.messages.jobs import Assignment
    from ibisspring_core.response_bodies import BodyReading
    from ibisspring_gateway.wire import EndpointAdapter

# Longest wait for the response headers, and then again for the first event: the run may first have
# to wait for all runs in the engine's queue.
FIRST_EVENT_TIMEOUT_S = 3.0
# Longest wait for each event after the first one. An engine that is four times slower than normal
# sends an event every 0.1 s.
EVENT_TIMEOUT_S = 1.2
# A run with an event longer than this ends as `broken`, which limits the memory that a faulty
# stream uses. A normal event has a few hundred bytes.
MAX_EVENT_BYTES = 1024 * 1024
EVENT_END = b"\n\n"
# An outcome contains events up to this size together, or one event that is larger.
MAX_OUTCOME_CHARS = 1024 * 1024


@dataclass
class RunProgress:
    """
    The events that a run has produced so far.

    :param data: data of each event.
    :param versions: weight version that made each event.
    :param reported_events: number of events that earlier outcomes contain.
    :param version: weight version of the next event; None while the engine has not stated one.
    :param complete: the stream was read to its regular end.
    :param first_event_s: seconds from the start of the run to its first event; 0.0 before it.
    :param keep_alive_s: seconds for which the engine keeps the idle connection open; 0.0 before the
        end of the stream.
    :param endpoint_ended: the connection broke, and the engine accepts no new one.
    :param until_close: the stream states no end of its own; it ends with its connection.
    :param error: the connection's error, for the log; empty if there was none.
    """

    data: list[str] = field(default_factory=list)
    versions: list[int] = field(default_factory=list)
    reported_events: int = 0
    version: int | None = None
    complete: bool = False
    first_event_s: float = 0.0
    keep_alive_s: float = 0.0
    endpoint_ended: bool = False
    until_close: bool = False
    error: str = ""

    def large_parts(self, number: int) -> Iterator[Outcome]:
        """
        Yield outcomes of the events that do not fit into the next outcome, oldest first.

        :param number: number of the assignment.
        """
        while True:
            sizes = (len(data) for data in self.data[self.reported_events :])
            end = self.reported_events + count_within(sizes, MAX_OUTCOME_CHARS)
            if end == len(self.data):
                return
            yield self._outcome_until(number, PART, end)

    def outcome(self, number: int, kind: str) -> Outcome:
        """
        Build an outcome from the events that no earlier outcome contains.

        The events are marked as reported, so that the next outcome does not repeat them.

        :param number: number of the assignment.
        :param kind: one of the kinds that `Outcome` lists.
        """
        return self._outcome_until(number, kind, len(self.data))

    def _outcome_until(self, number: int, kind: str, end: int) -> Outcome:
        after = self.reported_events
        self.reported_events = end
        return Outcome(
            number,
            kind,
            "\n".join(self.data[after:end]),
            end - after,
            tuple(version for version, _ in itertools.groupby(self.versions[after:end])),
            self.first_event_s,
            after,
            kept_s=self.keep_alive_s,
            endpoint_ended=self.endpoint_ended,
        )


async def run_item(
    assignment: Assignment, connections: Connections, wire: EndpointAdapter, progress: RunProgress
) -> Outcome:
    """
    Run an item at the endpoint that it is assigned to.

    :param assignment: the item, its endpoint, and the event after which the run resumes.
    :param progress: an empty record of the run, to which events are added as they arrive.
    :return: how the run ended, with its complete events that no earlier outcome contains.
    """
    started_at_s = boot_now()
    deadline_at_s = started_at_s + assignment.deadline_s
    try:
        kind = await _stream(assignment, connections, wire, progress, (started_at_s, deadline_at_s))
    except (TimeoutError, aiohttp.ClientConnectorError, asyncio.CancelledError) as error:
        # A cancelled run reports the events that it has received, like a run whose engine was lost.
        kind = "broken"
        progress.error = repr(error)
    except (aiohttp.ClientError, OSError) as error:
        kind = "broken"
        progress.error = repr(error)
        with contextlib.suppress(asyncio.CancelledError):
            progress.endpoint_ended = await is_refused(assignment.address)
    if kind == "done" and not progress.complete:
        kind = "broken"
    return progress.outcome(assignment.number, kind)


async def _stream(
    assignment: Assignment,
    connections: Connections,
    wire: EndpointAdapter,
    progress: RunProgress,
    start_and_deadline_s: tuple[float, float],
) -> str:
    item = assignment.item
    request = connections.request(
        "POST", assignment.address, item.path, wire.run_headers(assignment), item.body
    )
    async with asyncio.timeout(FIRST_EVENT_TIMEOUT_S):
        response = await request
    try:
        headers = headers_of(response)
        kind = _outcome_kind(
            wire.classify_run_response(assignment, response.status, headers), response.status
        )
        if kind != "done":
            return kind
        progress.version = wire.initial_version(headers)
        progress.until_close = ends_with_connection(response)
        with connections.reading(response) as reading:
            await _read_events(assignment, reading, wire, progress, *start_and_deadline_s)
        return "done"
    finally:
        # A connection whose stream was not read to its end is closed: its unread bytes must not be
        # taken for a later response, and the engine must not go on with a run that is not read.
        if progress.complete:
            response.release()
            progress.keep_alive_s = connections.record_idle(
                assignment.address, headers_of(response)
            )
        else:
            response.close()


def _outcome_kind(response_kind: ResponseKind, status: int) -> str:
    outcome_by_response_kind = {
        ResponseKind.REJECTED: "turned_away",
        ResponseKind.OTHER_ENDPOINT: "stale",
        ResponseKind.OTHER_REQUEST: "broken",
    }
    if response_kind in outcome_by_response_kind:
        return outcome_by_response_kind[response_kind]
    if status == 200:
        return "done"
    return IMPOSSIBLE if status == 422 else FAILED


async def _read_events(
    assignment: Assignment,
    reading: BodyReading,
    wire: EndpointAdapter,
    progress: RunProgress,
    started_at_s: float,
    deadline_at_s: float,
) -> None:
    response = reading.response
    buffer = b""
    timeout_s = FIRST_EVENT_TIMEOUT_S
    while True:
        async with asyncio.timeout(min(timeout_s, deadline_at_s - boot_now())):
            chunk = await response.content.readany()
        reading.grow(len(chunk))
        if not chunk:
            break
        buffer += chunk
        *blocks, buffer = buffer.split(EVENT_END)
        for block in blocks:
            if not _append_event(assignment, wire.read_event(block), progress):
                return
            progress.first_event_s = progress.first_event_s or round(boot_now() - started_at_s, 3)
            timeout_s = EVENT_TIMEOUT_S
        if len(buffer) > MAX_EVENT_BYTES:
            return
    # The body ended as its Content-Length or its last chunk says, or the engine closed the
    # connection of a body without either; otherwise the read would have raised an error.
    await check_end_of_body(response, assignment.address)
    # A run that resumes behind the last event has no event of its own.
    has_events = bool(progress.data) or assignment.resume_after > 0
    progress.complete = has_events and not buffer.strip()


def _append_event(assignment: Assignment, event: object, progress: RunProgress) -> bool:
    """Append an event to the run; return False if it is invalid, out of order or has no version."""
    if event is None or event.number != assignment.resume_after + len(progress.data) + 1:
        return False
    if event.version is not None:
        progress.version = event.version
    # Text is unusable where the engine did not state the weight version that made it; the version
    # is never guessed.
    if progress.version is None:
        return False
    progress.versions.append(progress.version)
    progress.data.append(event.data)
    return True


__all__ = ["RunProgress", "run_item"]
