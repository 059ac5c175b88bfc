"""Messages about jobs. A job is a set of requests that are submitted together and run later."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

COMPLETED = "completed"
PART = "part"
LATE = "late"
# Kinds of runs that an endpoint ended with an error: this run failed, or no run can succeed.
FAILED = "failed"
IMPOSSIBLE = "impossible"
FAILURES = frozenset({FAILED, IMPOSSIBLE})
ABANDONED = "abandoned"
# Seconds within which the runs of leaders begin that state no time of their own.
DEFAULT_BEGIN_WITHIN_S = 0.2


@dataclass(frozen=True)
class RewardCall:
    """
    The request that scores an item's complete text.

    The reward call is sent after the text is complete. The call is idempotent and belongs to no
    client account.

    :param request: id of the request at the endpoint.
    :param host: host name that, together with `path`, selects the route.
    :param path: path at the endpoint.
    :param body: body of the request.
    """

    request: str
    host: str
    path: str
    body: bytes


@dataclass(frozen=True)
class JobItem:
    """
    One request of a job, which a runner sends to an endpoint.

    :param item: id of the item, also used as the request's id at an endpoint.
    :param path: path at the endpoint.
    :param headers: pairs of name and value, as the caller sent them.
    :param body: body of the request.
    :param tokens: number of prompt tokens plus the maximum number of output tokens.
    :param group: id of the item's group; empty for none. Items of a group share their prompt, and
        their results have value only when the group is complete.
    :param prompt_tokens: number of prompt tokens.
    :param expected_tokens: the caller's estimate of the number of output tokens; 0 for none.
    :param reward: the request that scores the generated text; None if the text alone is the result.
    """

    item: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int
    group: str = ""
    prompt_tokens: int = 0
    expected_tokens: int = 0
    reward: RewardCall | None = None


@dataclass(frozen=True)
class Job:
    """
    One job as a caller submitted it.

    :param job: id of the job.
    :param client_account: account that submitted the job; only this account may read it.
    :param host: host of the job's route, also sent to endpoints.
    :param service: name of the service that runs the items.
    :param model: name of the model that runs the items.
    :param items: the requests of the job.
    :param due_s: seconds from the submission until all results are due.
    :param give_up_s: seconds from the submission after which an item may be abandoned.
    :param max_attempts: number of failures after which an item is abandoned.
    :param priority: rank of the job; 0 is the highest.
    :param min_version: oldest weight version that may generate the results.
    :param wanted_groups: number of complete groups that the trainer waits for.
    :param single_version: whether a single weight version must generate a complete result.
    :param submitted_s: wall-clock time of the submission, in seconds since 1970.
    :param regions: regions in which its items may run; None for all.
    """

    job: str
    client_account: str
    host: str
    service: str
    model: str
    items: tuple[JobItem, ...]
    due_s: float
    give_up_s: float
    max_attempts: int
    priority: int = 0
    min_version: int = 0
    wanted_groups: int = 0
    single_version: bool = False
    submitted_s: float = 0.0
    regions: tuple[str, ...] | None = None


@dataclass(frozen=True)
class ItemResult:
    """
    The final result of an item, after which it is not run any more.

    :param item: id of the item.
    :param state: COMPLETED or ABANDONED.
    :param output: data of all events in order, joined by line feeds.
    :param versions: weight versions that generated the output, in order of first use.
    :param score: answer to the reward call; empty if the item has no reward call.
    """

    item: str
    state: str
    output: str = ""
    versions: tuple[int, ...] = ()
    score: str = ""


@dataclass(frozen=True)
class SubmitJob:
    """Asks the jobs' leader to accept a job; a repeated message does not create a second job."""

    job: Job


@dataclass(frozen=True)
class JobAccepted:
    """Answer to `SubmitJob`: the job is stored by a majority of the stores."""


@dataclass(frozen=True)
class UnknownJob:
    """The job does not exist for this client account, as a leader confirmed by a quorum answers."""


@dataclass(frozen=True)
class EndJob:
    """Asks to end a job; results that exist stay readable."""

    job: str
    client_account: str


@dataclass(frozen=True)
class JobEnded:
    """Answer to `EndJob`: the job has ended and none of its items starts to run any more."""


@dataclass(frozen=True)
class Assignment:
    """
    An item that a runner (a daemon that runs items) is to run at an endpoint, and then to score.

    :param number: number of the assignment, unique within an epoch.
    :param job: id of the job.
    :param item: the item to run.
    :param client_account: account that submitted the job.
    :param host: host of the job's route.
    :param service: name of the service that runs the item.
    :param endpoint: id of the endpoint; empty if the item's text is complete and only its reward
        call remains.
    :param incarnation: incarnation of the endpoint.
    :param address: IP:port of the endpoint.
    :param expected_version: weight version that the endpoint is expected to have; None for any.
    :param resume_after: number of events already generated by earlier runs; 0 starts from the
        beginning.
    :param deadline_s: time limit of the run, in seconds.
    :param max_attempts: number of failures, of runs or reward calls, after which the item is
        abandoned.
    :param data_centre: data centre of the endpoint.
    :param paced: whether the endpoint bears only a limited number of requests per second, so that
        the run must begin within `begin_within_s` seconds of its assignment or not at all.
    :param regions: regions in which the item and its reward call may run; None for all.
    :param begin_within_s: seconds from the assignment until a paced run must have begun.
    """

    number: int
    job: str
    item: JobItem
    client_account: str
    host: str
    service: str
    endpoint: str
    incarnation: int
    address: str
    expected_version: int | None
    resume_after: int
    deadline_s: float
    max_attempts: int = 1
    data_centre: str = ""
    paced: bool = False
    regions: tuple[str, ...] | None = None
    begin_within_s: float = DEFAULT_BEGIN_WITHIN_S


@dataclass(frozen=True)
class HeldRun:
    """
    A run of an earlier epoch that its runner continues, for the new leader to adopt.

    :param key: the runner's own number of the run.
    :param job: id of the run's job.
    :param item: id of its item.
    :param endpoint: id of the endpoint that it runs at.
    :param resume_after: number of events of the item's text that earlier runs produced.
    :param events: number of events that this run has produced.
    :param failure: FAILED or IMPOSSIBLE if the run has ended so, and no leader has confirmed it;
        such a run does not go on. Empty otherwise.
    :param run_id: as in `Outcome`.
    """

    key: int
    job: str
    item: str
    endpoint: str
    resume_after: int
    events: int
    failure: str = ""
    run_id: str = ""


@dataclass(frozen=True)
class AdoptedRun:
    """
    A run of an earlier epoch that is an assignment of the new one.

    :param key: the runner's own number of the run.
    :param number: number of the assignment in the new epoch.
    :param stored_events: number of the run's events that the log contains.
    :param digest: `text_digest` of these events; the run goes on only if it made the same text.
    """

    key: int
    number: int
    stored_events: int
    digest: int


def text_digest(data: Iterable[str]) -> int:
    """Compute a digest of a text, given as the data of its events or as joined parts of them."""
    return xxhash.xxh64_intdigest("\n".join(data).encode())


@dataclass(frozen=True)
class TakeWork:
    """
    A runner asks the jobs' leader for assignments.

    :param runner: peer address of the runner's daemon.
    :param data_centre: data centre of the runner.
    :param incarnation: id of the daemon's start.
    :param epoch: epoch of the last `Work` that the runner received.
    :param sequence: number of the call; rises with each call of an incarnation.
    :param running: numbers of the assignments that run under that epoch.
    :param free: number of further assignments that the runner accepts.
    :param hold_s: seconds that the leader waits for new assignments before it answers.
    :param events: number of events generated so far by each assignment of `running`, in the same
        order.
    :param held: runs of earlier epochs that the runner continues until the leader has decided.
    :param capacity: number of runs that the runner bears by the size of its VM; 0 if unknown.
    """

    runner: str
    data_centre: str
    incarnation: str
    epoch: int
    sequence: int
    running: tuple[int, ...]
    free: int
    hold_s: float
    events: tuple[int, ...] = ()
    held: tuple[HeldRun, ...] = ()
    capacity: int = 0


@dataclass(frozen=True)
class Work:
    """
    Answer to `TakeWork`: new assignments for a runner, and running ones that it must stop.

    :param epoch: rises with each leader of the jobs' log. Assignments of an earlier epoch are
        cancelled.
    :param assignments: assignments whose items the runner starts.
    :param cancelled: numbers of assignments to stop.
    :param moved: numbers of assignments to stop and to report, because their items continue at
        another endpoint.
    :param held_s: seconds from the call's arrival until its first assignment was made, negative for
        one made before; without any, until the answer. The rest of the time that the call took is
        the longest time for which an assignment can have been on its way.
    :param adopted: those of the call's held runs that go on; the runner stops the others.
    """

    epoch: int
    assignments: tuple[Assignment, ...] = ()
    cancelled: tuple[int, ...] = ()
    moved: tuple[int, ...] = ()
    held_s: float = 0.0
    adopted: tuple[AdoptedRun, ...] = ()


@dataclass(frozen=True)
class Outcome:
    """
    The end of a run, or its output since the last report.

    :param number: number of the assignment whose run is reported.
    :param kind: PART while the run continues; `done`; FAILED if the endpoint reported that this
        run failed; IMPOSSIBLE if it reported that no run can succeed; `broken` if the stream
        broke or timed out; `turned_away` if the endpoint rejected the request before it started;
        `stale` if the endpoint has another weight version; LATE if the runner got the assignment
        too late and sent no request; `returned` if the runner gave the run
        back because its VM is near a limit; `unscored` if the reward call failed
        the maximum number of times.
    :param output: data of the run's events since the last report, joined by line feeds.
    :param events: number of these events.
    :param versions: weight versions that generated them, in order.
    :param first_s: seconds from the start to the first event; 0.0 if there was none.
    :param after: number of the run's events in earlier reports.
    :param whole: whether the text is complete with these events.
    :param score: score of a text that is `done`; empty if the item has no reward call.
    :param kept_s: seconds that the endpoint keeps the run's connection open for the next request;
        0.0 if it closes it or the run did not finish.
    :param endpoint_ended: whether the endpoint's process ended during a run that is `broken`.
    :param run_id: id of the run, which stays the same when a new leader adopts the run; empty in
        reports of earlier releases.
    """

    number: int
    kind: str
    output: str = ""
    events: int = 0
    versions: tuple[int, ...] = ()
    first_s: float = 0.0
    after: int = 0
    whole: bool = False
    score: str = ""
    kept_s: float = 0.0
    endpoint_ended: bool = False
    run_id: str = ""


@dataclass(frozen=True)
class TextPart:
    """
    A stored part of the output of an item that has not ended.

    :param item: id of the item.
    :param after: number of events before this part; 0 replaces the text stored so far.
    :param output: data of the part's events, joined by line feeds.
    :param events: number of these events.
    :param versions: weight versions that generated them, in order.
    :param whole: whether the text is complete with this part, so that only its score is missing.
    """

    item: str
    after: int
    output: str
    events: int
    versions: tuple[int, ...]
    whole: bool = False


@dataclass(frozen=True)
class ItemFailure:
    """
    A run of an item that its endpoint reported as failed.

    :param item: id of the item.
    :param run_id: id of the run, by which a failure that is reported twice counts once.
    """

    item: str
    run_id: str


@dataclass(frozen=True)
class ReportWork:
    """
    A runner reports ended runs and the new output of running ones.

    The message is sent again until it is answered.

    :param runner: peer address of the runner's daemon.
    :param epoch: epoch of the assignments that the outcomes belong to.
    :param outcomes: the outcomes, in the order in which they occurred.
    """

    runner: str
    epoch: int
    outcomes: tuple[Outcome, ...]


@dataclass(frozen=True)
class WorkReported:
    """
    Answer to `ReportWork`.

    :param accepted: whether the outcomes are recorded; False if they belong to an earlier epoch.
    """

    accepted: bool = True


__all__ = [
    "ABANDONED",
    "COMPLETED",
    "FAILED",
    "FAILURES",
    "IMPOSSIBLE",
    "LATE",
    "PART",
    "AdoptedRun",
    "Assignment",
    "EndJob",
    "HeldRun",
    "ItemFailure",
    "ItemResult",
    "Job",
    "JobAccepted",
    "JobEnded",
    "JobItem",
    "Outcome",
    "ReportWork",
    "RewardCall",
    "SubmitJob",
    "TakeWork",
    "TextPart",
    "UnknownJob",
    "Work",
    "WorkReported",
    "text_digest",
]
