"""Selects log lines that explain what happened to a request, job, item, endpoint or daemon."""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from ibisspring_cli.log_lines import merge_in_time_order
from ibisspring_cli.wait_times import wait_times
from ibisspring_core.errors import Reason
from ibisspring_core.logs import DROPPED_LINES_KIND

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ibisspring_cli.log_lines import ClockNote, LogLine
    from ibisspring_cli.wait_times import WaitTime

# Period, in seconds, of the other lines that are selected as context: from 10 s before the first
# line with the wanted id to 1 s after the last one. The state that daemons logged shortly before a
# decision explains that decision.
CONTEXT_BEFORE_S = 10.0
CONTEXT_AFTER_S = 1.0
# Fields that contain the id of a request, job or item. A line with such a field belongs to that
# request, job or item.
WORK_FIELDS = ("request", "job", "item")

MEANING_BY_REASON = {
    Reason.NO_ENDPOINT.value: "this entry knew no serving endpoint of the service: look at its "
    "directory_view:endpoints and at directory:endpoint before that time",
    Reason.ENDPOINT_FAILED.value: "the connection to the endpoint was refused or broke: look at "
    "the endpoint itself",
    Reason.ENDPOINT_SILENT.value: "the endpoint did not answer, or the network to it failed",
    Reason.ENDPOINT_REFUSED.value: "the endpoint had no free capacity, or another endpoint "
    "now has its address",
    Reason.TIMEOUT.value: "no answer came in the time that the route or the caller allows: the "
    "endpoints tried were slow or silent",
    Reason.MISMATCHED_ANSWER.value: "the answer on this connection belongs to another request",
    Reason.EVACUATED.value: "all endpoints of the service are in the data centres that the line "
    "names, which operators evacuate: see directory:evacuation and `ibisspring evacuate list`",
    Reason.OUTSIDE_REGIONS.value: "no endpoint lies in the regions that the route and the client "
    "account allow",
    Reason.COLD.value: "the endpoints have just started, and this entry had sent them as many "
    "requests as its share of what they bear allows",
    Reason.CRASH_SUSPECT.value: "endpoints ended while they ran this request: see the lines with "
    "its `identity`, crash_suspects:endpoint_ended and directory:crash_suspect, and "
    "`ibisspring suspects list`",
    Reason.LEASE_LAPSED.value: "this entry had no recent answer from control: look at its "
    "directory_view:no_leader",
    Reason.NO_LEADER.value: "no control daemon was leader, or the leader was unreachable",
    Reason.CANNOT_FINISH.value: "the job would have ended after its time limits, or made accepted "
    "jobs late: see predicted_end_s and retry_after_s of jobs:rejected",
    # Outcomes of the run of a job's item on an engine; see `Outcome.kind`.
    "broken": "the engine's stream broke or stalled; the item continues on another engine",
    "failed": "the engine reported that this run failed; the item is retried",
    "stale": "the engine had another weight version than expected",
    "late": "the assignment reached the entry too late; the item is assigned again",
    "turned_away": "the engine rejected the run without starting it",
    "unscored": "the item's reward call failed as often as permitted",
    "impossible": "the engine reported that no run can succeed: the item itself is invalid",
}


@dataclass(frozen=True)
class ExplainedLine:
    """
    A log line that an explanation shows.

    :param at_s: seconds after the first line that contains the explained id; negative before that
        line.
    :param direct: True if the line contains the explained id, False for a line of the context.
    """

    at_s: float
    direct: bool
    line: LogLine


@dataclass(frozen=True)
class Explanation:
    """
    The log lines that explain what happened to an id.

    :param lines: lines in time order; empty if no line contains the id.
    :param meanings: explanations of the error reasons in the lines that contain the id, the latest
        reason first.
    :param clocks: the boot clocks by which the lines were ordered.
    :param dropped_by_kind: number of lines, by `message_type`, that daemons did not log in this
        period because of their log limits.
    :param waits: how long and why the items of the job waited, or of the item's job.
    """

    lines: tuple[ExplainedLine, ...]
    meanings: tuple[str, ...]
    clocks: tuple[ClockNote, ...]
    dropped_by_kind: dict[str, int]
    waits: tuple[WaitTime, ...] = ()


def explain(wanted: str, lines: Iterable[LogLine]) -> Explanation:
    """
    Select the log lines that explain what happened to an id.

    :param wanted: id of a request, job, item, endpoint or daemon.
    :param lines: log lines of any number of processes.
    :return: the lines that contain the id, and the lines of the same period about related ids (the
        items of a job, the endpoints to which a request was sent) or about the state known to the
        daemons.
    """
    timed, clocks = merge_in_time_order(lines)
    wanted_ids = frozenset({wanted})
    direct_flags = [line.mentions(wanted_ids) or line.process == wanted for _, line in timed]
    direct = list(itertools.compress(timed, direct_flags))
    if not direct:
        return Explanation((), (), tuple(clocks), {})
    first_s, last_s = direct[0][0], direct[-1][0]
    related = _related_ids([line for _, line in direct], wanted)
    if any(line.fields.get("reason") == Reason.NO_ENDPOINT.value for _, line in direct):
        # The entry knew no endpoint of the service, so the line names none. The missing endpoint
        # may be any endpoint in the logs.
        endpoints = (line.fields.get("endpoint") for _, line in timed)
        related |= {one for one in endpoints if isinstance(one, str)} - {wanted}
    explained = []
    dropped_by_kind: dict[str, int] = {}
    for (at_s, line), is_direct in zip(timed, direct_flags, strict=True):
        in_period = first_s - CONTEXT_BEFORE_S <= at_s <= last_s + CONTEXT_AFTER_S
        if line.kind == DROPPED_LINES_KIND and in_period:
            _add_counts(dropped_by_kind, line.fields.get("count"))
        if is_direct or (in_period and _is_context(line, related)):
            explained.append(ExplainedLine(round(at_s - first_s, 4), is_direct, line))
    waits = wait_times([(at_s - first_s, line) for at_s, line in timed], related | wanted_ids)
    return Explanation(
        tuple(explained), _meanings(explained), tuple(clocks), dropped_by_kind, waits
    )


def _add_counts(total_by_kind: dict[str, int], counts: Any) -> None:
    if not isinstance(counts, dict):
        return
    for kind, count in counts.items():
        if isinstance(count, int):
            total_by_kind[kind] = total_by_kind.get(kind, 0) + count


def _related_ids(direct: list[LogLine], wanted: str) -> frozenset[str]:
    """Return the ids related to `wanted`: items of a job, job of an item, endpoints of requests."""
    found: list[Any] = []
    for line in direct:
        fields = line.fields
        if fields.get("job") == wanted:
            found.append(fields.get("item"))
        if fields.get("item") == wanted:
            found.append(fields.get("job"))
        if any(name in fields for name in WORK_FIELDS):
            tries = fields.get("tries")
            found += tries if isinstance(tries, list) else ()
            found.append(fields.get("endpoint"))
    return frozenset(one for one in found if isinstance(one, str)) - {"", wanted}


def _is_context(line: LogLine, related: frozenset[str]) -> bool:
    """Return whether a line without the wanted id is about a related id or a daemon's state."""
    work_ids = [line.fields[name] for name in WORK_FIELDS if name in line.fields]
    if work_ids:
        # Lines about a job as a whole (such as its acceptance) explain each of its items. A line
        # about one item is selected only if that item is related to the wanted id; lines about
        # other items of the same job are not.
        return any(_is_in(work_id, related) for work_id in work_ids) and (
            "item" not in line.fields or _is_in(line.fields["item"], related)
        )
    if "endpoint" in line.fields:
        return _is_in(line.fields["endpoint"], related)
    return line.kind != DROPPED_LINES_KIND


def _is_in(value: Any, ids: frozenset[str]) -> bool:
    return isinstance(value, str) and value in ids


def _meanings(explained: list[ExplainedLine]) -> tuple[str, ...]:
    meaning_by_reason: dict[str, str] = {}
    for one in reversed(explained):
        reason = one.line.fields.get("reason") if one.direct else None
        if isinstance(reason, str) and reason in MEANING_BY_REASON:
            meaning_by_reason.setdefault(reason, f"{reason}: {MEANING_BY_REASON[reason]}")
    return tuple(meaning_by_reason.values())


__all__ = ["ExplainedLine", "Explanation", "explain"]
