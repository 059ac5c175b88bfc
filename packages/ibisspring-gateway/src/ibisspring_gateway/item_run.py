"""One run of one item at one engine: a stream of events that may break anywhere."""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import aiohttp

from ibisspring_core.clock import boot_now
from ibisspring_core.connections import headers_of
from ibisspring_core.messages.jobs import Outcome
from ibisspring_gateway.wire import Verdict

if TYPE_CHECKING:
    from ibisspring_core.connections import Connections
    from ibisspring_core.messages.jobs import Assignment
    from ibisspring_gateway.wire import EndpointWire

# The first event takes a whole line at the engine; later ones come steadily, a tenth of a second
# apart when the engine is slow by four times.
FIRST_SILENCE_S = 3.0
SILENCE_S = 1.2
# An event is some hundred bytes.
MAX_EVENT_BYTES = 1024 * 1024
EVENT_END = b"\n\n"


@dataclass
class RunText:
    """
    What a run made so far.

    :param data: data of its events.
    :param versions: weight version that made each of them.
    :param handed_over: events that went out in parts.
    :param version: weight version of the next event.
    :param whole: the stream came to its end.
    :param first_s: seconds until the first event.
    :param kept_s: seconds that the engine keeps the connection; 0.0 before the end.
    """

    data: list[str] = field(default_factory=list)
    versions: list[int] = field(default_factory=list)
    handed_over: int = 0
    version: int | None = None
    whole: bool = False
    first_s: float = 0.0
    kept_s: float = 0.0

    def outcome(self, number: int, kind: str) -> Outcome:
        """Describe what was made since the last part; it counts as handed over."""
        after = self.handed_over
        self.handed_over = len(self.data)
        return Outcome(
            number,
            kind,
            "\n".join(self.data[after:]),
            len(self.data) - after,
            tuple(version for version, _ in itertools.groupby(self.versions[after:])),
            self.first_s,
            after,
            kept_s=self.kept_s,
        )


async def run_item(
    assignment: Assignment, connections: Connections, wire: EndpointWire, text: RunText
) -> Outcome:
    """
    Run an item.

    :param assignment: what to run, where, and after which event.
    :param text: empty; filled as events come.
    :return: how it ended, with the whole events that it made.
    """
    began_s = boot_now()
    end_s = began_s + assignment.deadline_s
    try:
        kind = await _stream(assignment, connections, wire, text, (began_s, end_s))
    except (TimeoutError, aiohttp.ClientError, OSError, asyncio.CancelledError):
        # A run that is stopped here hands on what it has, like one whose engine was lost.
        kind = "broken"
    if kind == "done" and not text.whole:
        kind = "broken"
    return text.outcome(assignment.number, kind)


async def _stream(
    assignment: Assignment,
    connections: Connections,
    wire: EndpointWire,
    text: RunText,
    span_s: tuple[float, float],
) -> str:
    item = assignment.item
    sending = connections.request(
        "POST", assignment.address, item.path, wire.run_headers(assignment), item.body
    )
    async with asyncio.timeout(FIRST_SILENCE_S):
        response = await sending
    try:
        headers = headers_of(response)
        kind = _kind_of(wire.run_verdict(assignment, response.status, headers), response.status)
        if kind != "done":
            return kind
        text.version = wire.run_version(headers)
        await _read_events(assignment, response, wire, text, *span_s)
        return "done"
    finally:
        # A stream that was not read to its end leaves bytes that belong to no later answer, and an
        # engine at work for nobody.
        if text.whole:
            response.release()
            text.kept_s = connections.released(assignment.address, headers_of(response))
        else:
            response.close()


def _kind_of(verdict: Verdict, status: int) -> str:
    kind_by_verdict = {
        Verdict.TURNED_AWAY: "turned_away",
        Verdict.OTHER_ENDPOINT: "stale",
        Verdict.NOT_OURS: "broken",
    }
    if verdict in kind_by_verdict:
        return kind_by_verdict[verdict]
    if status == 200:
        return "done"
    return "impossible" if status == 422 else "failed"


async def _read_events(
    assignment: Assignment,
    response: aiohttp.ClientResponse,
    wire: EndpointWire,
    text: RunText,
    began_s: float,
    end_s: float,
) -> None:
    buffer = b""
    silence_s = FIRST_SILENCE_S
    while True:
        async with asyncio.timeout(min(silence_s, end_s - boot_now())):
            chunk = await response.content.readany()
        if not chunk:
            break
        buffer += chunk
        *blocks, buffer = buffer.split(EVENT_END)
        for block in blocks:
            if not _take_event(assignment, wire.read_event(block), text):
                return
            text.first_s = text.first_s or round(boot_now() - began_s, 3)
            silence_s = SILENCE_S
        if len(buffer) > MAX_EVENT_BYTES:
            return
    # The length or the last chunk was there, or the reader would have raised.
    text.whole = not buffer.strip() and bool(text.data)


def _take_event(assignment: Assignment, event: object, text: RunText) -> bool:
    """Take the next event; False where it is not the one that must come next."""
    if event is None or event.number != assignment.resume_after + len(text.data) + 1:
        return False
    if event.version is not None:
        text.version = event.version
    # A text without the word of its engine on what made it is worth nothing: no label is guessed.
    if text.version is None:
        return False
    text.versions.append(text.version)
    text.data.append(event.data)
    return True


__all__ = ["RunText", "run_item"]
