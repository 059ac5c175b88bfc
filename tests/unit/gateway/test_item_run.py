from __future__ import annotations

import pytest

from fakes.scripted_endpoint import scripted
from ibisspring_core.connections import Connections
from ibisspring_core.kernel import Kernel
from ibisspring_core.messages.jobs import Assignment, JobItem
from ibisspring_gateway import item_run
from ibisspring_gateway.item_run import RunText, run_item
from ibisspring_gateway.wire import Event, Verdict

HEAD = b"HTTP/1.1 200 OK\r\nVersion: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
END = b"0\r\n\r\n"


class _Wire:
    """Stand-in: an event is `number data` or `number data version`."""

    def run_headers(self, assignment):
        return (("After", str(assignment.resume_after)),)

    def run_verdict(self, assignment, status, headers):
        if status == 421:
            return Verdict.OTHER_ENDPOINT
        return Verdict.TURNED_AWAY if status == 503 else Verdict.ANSWERED

    def run_version(self, headers):
        known = {name.lower(): value for name, value in headers}
        return int(known["version"]) if "version" in known else None

    def read_event(self, block):
        fields = block.decode().split()
        version = int(fields[2]) if len(fields) > 2 else None
        return Event(int(fields[0]), fields[1], version)


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


async def run(steps: list, resume_after: int = 0):
    item = JobItem("i1", "/score/1", (), b"body", 900)
    connections = Connections()
    await connections.start(Kernel())
    try:
        async with scripted(lambda head: steps) as endpoint:
            assignment = Assignment(
                5, "j", item, "a", "h", "s", "e", 1, endpoint.address, 4, resume_after, 30.0
            )
            return await run_item(assignment, connections, _Wire(), RunText())
    finally:
        await connections.stop()


async def test_a_whole_stream_is_done() -> None:
    outcome = await run([HEAD, chunk(b"1 a\n\n2 b"), chunk(b"\n\n"), chunk(b"3 c 5\n\n"), END])

    assert (outcome.kind, outcome.output, outcome.events) == ("done", "a\nb\nc", 3)
    assert outcome.versions == (4, 5)


@pytest.mark.parametrize(
    "steps",
    [
        [HEAD, chunk(b"1 a\n\n2 b\n\n"), None],
        [HEAD, chunk(b"1 a\n\n2 b\n\n3 c"), END],
        [HEAD, chunk(b"1 a\n\n2 b\n\n4 d\n\n"), END],
        [HEAD, chunk(b"1 a\n\n2 b\n\n2 b\n\n"), END],
    ],
    ids=["reset", "half an event", "a gap", "twice"],
)
async def test_a_stream_that_breaks_keeps_the_events_before_it(steps) -> None:
    # An engine dies in the middle of an event, or loses one. A text with a gap or with half an
    # event would be learned from as if it were whole.
    outcome = await run(steps)

    assert (outcome.kind, outcome.output, outcome.events) == ("broken", "a\nb", 2)


async def test_a_run_that_goes_on_begins_with_the_next_event() -> None:
    outcome = await run([HEAD, chunk(b"3 c\n\n"), END], resume_after=2)
    assert (outcome.kind, outcome.output) == ("done", "c")

    again = await run([HEAD, chunk(b"1 a\n\n"), END], resume_after=2)
    assert (again.kind, again.events) == ("broken", 0)


async def test_a_text_without_a_version_is_thrown_away() -> None:
    # No label is guessed: a sample without one may have been made by weights of any age.
    head = HEAD.replace(b"Version: 4\r\n", b"")

    outcome = await run([head, chunk(b"1 a\n\n"), END])

    assert (outcome.kind, outcome.events) == ("broken", 0)


@pytest.mark.parametrize(
    ("status", "kind"),
    [(503, "turned_away"), (421, "stale"), (422, "impossible"), (500, "failed"), (504, "failed")],
)
async def test_what_the_engine_says_decides_what_comes_next(status, kind) -> None:
    steps = [b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % status]

    assert (await run(steps)).kind == kind


async def test_an_engine_that_goes_silent_is_left(monkeypatch) -> None:
    # The connection goes silent for good while new ones work: without a bound of its own the item
    # would be waited for until its step has run out of time.
    monkeypatch.setattr(item_run, "SILENCE_S", 0.2)

    outcome = await run([HEAD, chunk(b"1 a\n\n"), 5.0])

    assert (outcome.kind, outcome.output) == ("broken", "a")


async def test_an_endpoint_that_nobody_listens_at_breaks_the_run() -> None:
    connections = Connections()
    await connections.start(Kernel())
    item = JobItem("i1", "/score/1", (), b"body", 900)
    assignment = Assignment(5, "j", item, "a", "h", "s", "e", 1, "127.0.0.1:1", 4, 0, 30.0)

    assert (await run_item(assignment, connections, _Wire(), RunText())).kind == "broken"
    await connections.stop()


def test_what_was_handed_over_in_parts_is_not_told_again() -> None:
    text = RunText(data=["a", "b"], versions=[4, 4])
    first = text.outcome(5, "part")
    text.data += ["c", "d"]
    text.versions += [4, 5]

    rest = text.outcome(5, "done")

    assert (first.output, first.events, first.versions, first.after) == ("a\nb", 2, (4,), 0)
    assert (rest.output, rest.events, rest.versions, rest.after) == ("c\nd", 2, (4, 5), 2)
