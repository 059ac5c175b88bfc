from __future__ import annotations

import asyncio

import pytest

from fakes.scripted_endpoint import EXIT, RESET, scripted
from ibisspring_core.connections import Connections
from ibisspring_core.kernel import Kernel
from ibisspring_core.messages.jobs import Assignment, JobItem
from ibisspring_gateway import item_run
from ibisspring_gateway.item_run import MAX_OUTCOME_CHARS, RunProgress, run_item
from ibisspring_gateway.wire import Event, ResponseKind

HEAD = b"HTTP/1.1 200 OK\r\nVersion: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


class _Wire:
    """Fake endpoint adapter, whose events are `number data` or `number data version`."""

    def run_headers(self, assignment):
        return (("After", str(assignment.resume_after)),)

    def classify_run_response(self, assignment, status, headers):
        if status == 421:
            return ResponseKind.OTHER_ENDPOINT
        return ResponseKind.REJECTED if status == 503 else ResponseKind.ANSWERED

    def initial_version(self, headers):
        value_by_name = {name.lower(): value for name, value in headers}
        return int(value_by_name["version"]) if "version" in value_by_name else None

    def read_event(self, block):
        fields = block.decode().split()
        version = int(fields[2]) if len(fields) > 2 else None
        return Event(int(fields[0]), fields[1], version)


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


async def run(steps: list, resume_after: int = 0, connections: Connections | None = None):
    item = JobItem("i1", "/score/1", (), b"body", 900)
    connections = connections or Connections()
    await connections.start(Kernel())
    try:
        async with scripted(lambda head: steps) as endpoint:
            assignment = Assignment(
                5, "j", item, "a", "h", "s", "e", 1, endpoint.address, 4, resume_after, 30.0
            )
            return await run_item(assignment, connections, _Wire(), RunProgress())
    finally:
        await connections.stop()


async def test_complete_stream_is_done() -> None:
    outcome = await run(
        [HEAD, chunk(b"1 a\n\n2 b"), chunk(b"\n\n"), chunk(b"3 c 5\n\n"), LAST_CHUNK]
    )

    assert (outcome.kind, outcome.output, outcome.events) == ("done", "a\nb\nc", 3)
    assert outcome.versions == (4, 5)


@pytest.mark.parametrize(
    "steps",
    [
        [HEAD, chunk(b"1 a\n\n2 b\n\n"), None],
        [HEAD, chunk(b"1 a\n\n2 b\n\n3 c"), LAST_CHUNK],
        [HEAD, chunk(b"1 a\n\n2 b\n\n4 d\n\n"), LAST_CHUNK],
        [HEAD, chunk(b"1 a\n\n2 b\n\n2 b\n\n"), LAST_CHUNK],
    ],
    ids=["reset", "incomplete event", "missing event", "repeated event"],
)
async def test_a_broken_stream_keeps_the_events_before_the_fault(steps) -> None:
    # An engine stops in the middle of an event, or omits or repeats one. Without these checks, a
    # trainer would learn from an incomplete text as if it were complete.
    outcome = await run(steps)

    assert (outcome.kind, outcome.output, outcome.events) == ("broken", "a\nb", 2)


UNTIL_CLOSE = b"HTTP/1.1 200 OK\r\nVersion: 4\r\nConnection: close\r\n\r\n"


@pytest.mark.parametrize(
    ("steps", "events"),
    [
        ([], 0),
        ([b"1 a\n\n"], 1),
        ([b"1 a\n\n2 b"], 1),
        ([b"1 a\n\n2 b\n\n"], 2),
        ([b"1 a\n\n", 0.05, b"2 b\n\n"], 2),
    ],
    ids=["no event", "one event", "inside an event", "all events", "all events, two packets"],
)
async def test_a_stream_without_a_length_that_is_reset_is_broken(steps, events) -> None:
    # The reset was taken for the end of the stream, so a trainer learned from a truncated text as
    # if it were complete.
    outcome = await run([UNTIL_CLOSE, *steps, 0.05, RESET])

    assert (outcome.kind, outcome.events) == ("broken", events)


async def test_a_stream_without_a_length_is_done_if_its_connection_is_closed() -> None:
    outcome = await run([UNTIL_CLOSE, b"1 a\n\n2 b\n\n", None])

    assert (outcome.kind, outcome.output, outcome.events) == ("done", "a\nb", 2)


async def test_a_resumed_run_starts_with_the_next_event() -> None:
    outcome = await run([HEAD, chunk(b"3 c\n\n"), LAST_CHUNK], resume_after=2)
    assert (outcome.kind, outcome.output) == ("done", "c")

    unexpected = await run([HEAD, chunk(b"1 a\n\n"), LAST_CHUNK], resume_after=2)
    assert (unexpected.kind, unexpected.events) == ("broken", 0)


async def test_a_run_that_resumes_behind_the_last_event_is_done() -> None:
    # A stream breaks between its last event and its end. The next run has nothing left to send; if
    # it counted as broken, the item would run again until its time limit.
    assert (await run([HEAD, LAST_CHUNK], resume_after=2)).kind == "done"
    assert (await run([UNTIL_CLOSE, None], resume_after=2)).kind == "done"

    assert (await run([HEAD, LAST_CHUNK])).kind == "broken"


async def test_a_stream_without_a_length_is_broken_if_its_engine_ended() -> None:
    # The end of a process closes its connections regularly, in the middle of a text.
    outcome = await run([UNTIL_CLOSE, b"1 a\n\n", 0.05, EXIT])

    assert (outcome.kind, outcome.output, outcome.endpoint_ended) == ("broken", "a", True)


async def test_a_text_without_a_version_is_discarded() -> None:
    # An engine does not state its weight version, so weights of any age may have made the text. If
    # the version were guessed, a trainer might learn from text of the wrong version.
    head = HEAD.replace(b"Version: 4\r\n", b"")

    outcome = await run([head, chunk(b"1 a\n\n"), LAST_CHUNK])

    assert (outcome.kind, outcome.events) == ("broken", 0)


@pytest.mark.parametrize(
    ("status", "kind"),
    [(503, "turned_away"), (421, "stale"), (422, "impossible"), (500, "failed"), (504, "failed")],
)
async def test_response_status_determines_the_kind_of_outcome(status, kind) -> None:
    steps = [b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % status]

    assert (await run(steps)).kind == kind


async def test_run_breaks_if_the_engine_stops_sending(monkeypatch) -> None:
    # The engine sends nothing more on this connection, although it answers on new connections.
    # Without a time limit for each event, the run would last until the step's deadline.
    monkeypatch.setattr(item_run, "EVENT_TIMEOUT_S", 0.2)

    outcome = await run([HEAD, chunk(b"1 a\n\n"), 5.0])

    assert (outcome.kind, outcome.output) == ("broken", "a")


async def test_run_breaks_if_the_connection_is_refused() -> None:
    connections = Connections()
    await connections.start(Kernel())
    item = JobItem("i1", "/score/1", (), b"body", 900)
    assignment = Assignment(5, "j", item, "a", "h", "s", "e", 1, "127.0.0.1:1", 4, 0, 30.0)

    assert (await run_item(assignment, connections, _Wire(), RunProgress())).kind == "broken"
    await connections.stop()


def test_events_reported_in_parts_are_not_reported_again() -> None:
    progress = RunProgress(data=["a", "b"], versions=[4, 4])
    first = progress.outcome(5, "part")
    progress.data += ["c", "d"]
    progress.versions += [4, 5]

    last = progress.outcome(5, "done")

    assert (first.output, first.events, first.versions, first.after) == ("a\nb", 2, (4,), 0)
    assert (last.output, last.events, last.versions, last.after) == (
        "c\nd",
        2,
        (4, 5),
        2,
    )


@pytest.mark.parametrize(
    "sizes", [[3] * 400, [MAX_OUTCOME_CHARS + 1, 1], [1, MAX_OUTCOME_CHARS + 1, 1], [300_000] * 20]
)
def test_a_long_text_is_reported_in_parts_that_a_log_entry_can_hold(sizes) -> None:
    # A text that an engine made within a second was reported at once, whatever its length.
    data = [str(number % 10) * size for number, size in enumerate(sizes)]
    progress = RunProgress(data=list(data), versions=[4] * len(data))

    parts = [*progress.large_parts(5), progress.outcome(5, "done")]

    assert "\n".join(part.output for part in parts if part.events) == "\n".join(data)
    assert [part.after for part in parts] == [
        sum(part.events for part in parts[:index]) for index in range(len(parts))
    ]
    assert sum(part.events for part in parts) == len(data)
    for part in parts:
        text_chars = len(part.output) - max(0, part.events - 1)
        assert part.events == 1 or text_chars <= MAX_OUTCOME_CHARS


async def test_only_a_run_whose_engine_listens_no_more_tells_its_end() -> None:
    # A reset by an engine that goes on, or an engine that was gone before, is no end under the run.
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        server.close()
        writer.transport.abort()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    connections = Connections()
    await connections.start(Kernel())
    item = JobItem("i1", "/score/1", (), b"body", 900)
    assignment = Assignment(5, "j", item, "a", "h", "s", "e", 1, address, 4, 0, 30.0)
    try:
        ended = await run_item(assignment, connections, _Wire(), RunProgress())
        gone = await run_item(assignment, connections, _Wire(), RunProgress())
    finally:
        await connections.stop()
    reset = await run([None])

    assert [one.kind for one in (ended, gone, reset)] == ["broken"] * 3
    assert [one.endpoint_ended for one in (ended, gone, reset)] == [True, False, False]


@pytest.mark.parametrize(("events", "kind"), [(10, "done"), (40, "broken")])
async def test_a_stream_of_valid_events_ends_at_the_limit_of_a_text(events, kind) -> None:
    # The events of a faulty engine have no end; each of them is sound.
    texts = [chunk(b"%d %s\n\n" % (n, b"x" * 60_000)) for n in range(1, events + 1)]
    connections = Connections(max_answer_bytes=1_000_000)

    outcome = await run([HEAD, *texts, LAST_CHUNK], connections=connections)

    assert outcome.kind == kind
    assert outcome.events <= 17
    assert connections._memory._used_bytes == 0
