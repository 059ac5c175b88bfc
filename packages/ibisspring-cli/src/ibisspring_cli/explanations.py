"""Which log lines explain what happened to a request, a job, an item or an endpoint."""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from ibisspring_cli.log_lines import in_one_order
from ibisspring_core.errors import Reason
from ibisspring_core.logs import LEFT_OUT

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ibisspring_cli.log_lines import ClockNote, LogLine

# What daemons believed shortly before explains what they decided.
BEFORE_S = 10.0
AFTER_S = 1.0
# Fields by which lines belong to one request, or to one item of a job.
WORK_FIELDS = ("request", "job", "item")

MEANING_BY_REASON = {
    Reason.NO_ENDPOINT.value: "no endpoint of the service was serving for this entry: look at its "
    "directory_view:endpoints and at directory:endpoint before that moment",
    Reason.ENDPOINT_FAILED.value: "the connection to the endpoint was refused or broke: look at "
    "the endpoint",
    Reason.ENDPOINT_SILENT.value: "the endpoint or the way to it was silent",
    Reason.ENDPOINT_REFUSED.value: "the endpoint was full, or is another one now",
    Reason.TIMEOUT.value: "no answer came in the time that the route or the caller allows: the "
    "endpoints tried were slow or silent",
    Reason.MISMATCHED_ANSWER.value: "an endpoint answered another request on this connection",
    Reason.NO_LEADER.value: "no control daemon led, or the way to it was cut",
    # How runs end; see `Outcome`.
    "broken": "the engine's stream broke or went silent; the item goes on elsewhere",
    "failed": "the engine said that this run failed; the item is tried again",
    "stale": "the engine had other weights than believed",
    "turned_away": "the engine took no more work",
    "unscored": "endpoints failed the item's reward call as often as they may",
    "impossible": "the engine said that no run can succeed: the item itself is at fault",
}


@dataclass(frozen=True)
class Told:
    """
    A line of an explanation.

    :param at_s: seconds after the first line that names the id; negative before it.
    :param direct: it names the id; otherwise it tells what daemons believed or did meanwhile.
    """

    at_s: float
    direct: bool
    line: LogLine


@dataclass(frozen=True)
class Explanation:
    """
    What is known of an id.

    :param told: lines in one order; empty where none names the id.
    :param meanings: what the reasons among them mean, the last first.
    :param clocks: by which clocks the lines were ordered.
    :param left_out: lines that daemons left out meanwhile, by kind.
    """

    told: tuple[Told, ...]
    meanings: tuple[str, ...]
    clocks: tuple[ClockNote, ...]
    left_out: dict[str, int]


def explain(wanted: str, lines: Iterable[LogLine]) -> Explanation:
    """
    Find the lines that explain an id.

    :param wanted: id of a request, job, item, endpoint or daemon.
    :param lines: of any number of processes.
    :return: the lines that name it, those that name the items of a job or the endpoints tried, and
        what daemons believed around them.
    """
    timed, clocks = in_one_order(lines)
    direct = frozenset({wanted})
    names_it = [line.names(direct) or line.process == wanted for _, line in timed]
    named = list(itertools.compress(timed, names_it))
    if not named:
        return Explanation((), (), tuple(clocks), {})
    first_s, last_s = named[0][0], named[-1][0]
    linked = _linked([line for _, line in named], wanted)
    if any(line.fields.get("reason") == Reason.NO_ENDPOINT.value for _, line in named):
        # None was tried, so any of them may be the one that was missing.
        named_endpoints = (line.fields.get("endpoint") for _, line in timed)
        linked |= {one for one in named_endpoints if isinstance(one, str)} - {wanted}
    told = []
    left_out: dict[str, int] = {}
    for (at, line), is_direct in zip(timed, names_it, strict=True):
        around = first_s - BEFORE_S <= at <= last_s + AFTER_S
        if line.kind == LEFT_OUT and around:
            _add_counts(left_out, line.fields.get("count"))
        if is_direct or (around and _tells_of(line, linked)):
            told.append(Told(round(at - first_s, 4), is_direct, line))
    return Explanation(tuple(told), _meanings(told), tuple(clocks), left_out)


def _add_counts(left_out: dict[str, int], counts: Any) -> None:
    if not isinstance(counts, dict):
        return
    for kind, count in counts.items():
        if isinstance(count, int):
            left_out[kind] = left_out.get(kind, 0) + count


def _linked(named: list[LogLine], wanted: str) -> frozenset[str]:
    """Ids that belong to the one asked for: a job's items, an item's job, endpoints tried."""
    found: list[Any] = []
    for line in named:
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


def _tells_of(line: LogLine, linked: frozenset[str]) -> bool:
    """Whether a line that does not name the id says what a daemon did for it or believed."""
    work = [line.fields[name] for name in WORK_FIELDS if name in line.fields]
    if work:
        # A job's acceptance explains its item; the item's other lines explain its job.
        return any(_is_in(one, linked) for one in work) and (
            "item" not in line.fields or _is_in(line.fields["item"], linked)
        )
    if "endpoint" in line.fields:
        return _is_in(line.fields["endpoint"], linked)
    return line.kind != LEFT_OUT


def _is_in(value: Any, wanted: frozenset[str]) -> bool:
    return isinstance(value, str) and value in wanted


def _meanings(told: list[Told]) -> tuple[str, ...]:
    found: dict[str, str] = {}
    for one in reversed(told):
        reason = one.line.fields.get("reason") if one.direct else None
        if isinstance(reason, str) and reason in MEANING_BY_REASON:
            found.setdefault(reason, f"{reason}: {MEANING_BY_REASON[reason]}")
    return tuple(found.values())


__all__ = ["Explanation", "Told", "explain"]
