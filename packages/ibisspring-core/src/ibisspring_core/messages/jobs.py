"""Messages about jobs: many requests that are submitted at once and run later."""

from __future__ import annotations

from dataclasses import dataclass

COMPLETED = "completed"
PART = "part"
ABANDONED = "abandoned"


@dataclass(frozen=True)
class RewardCall:
    """
    The request that scores an item's whole text.

    It is sent once the text is whole, may be repeated, and belongs to no client account.

    :param request: its id at an endpoint.
    :param host: with `path`, selects its route.
    :param path: path at the endpoint.
    """

    request: str
    host: str
    path: str
    body: bytes


@dataclass(frozen=True)
class JobItem:
    """
    One request of a job.

    :param item: its id, which is also the id of the request at an endpoint.
    :param path: path at the endpoint.
    :param headers: pairs of name and value, as the caller gave them.
    :param tokens: prompt tokens and the most output tokens together.
    :param prompt_tokens: the first of these.
    :param expected_tokens: the caller's estimate of its output; 0 for none.
    :param group: items of a group share their prompt and are worth something only together.
    :param reward: None where a whole text is a whole result.
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

    :param job: its id.
    :param client_account: who submitted it; only this account reads it.
    :param host: host of its route, which endpoints are told as well.
    :param due_s: seconds from the submission until all results are due.
    :param give_up_s: seconds from the submission after which an item may be given up.
    :param max_attempts: failures after which an item is given up.
    :param min_version: oldest weight version that may make its results.
    :param wanted_groups: whole groups that the trainer waits for.
    :param single_version: one weight version must make a whole result.
    :param submitted_s: wall clock of the submission, seconds since 1970.
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


@dataclass(frozen=True)
class ItemResult:
    """
    How an item ended.

    :param state: COMPLETED or ABANDONED.
    :param output: data of all events in order, joined by line feeds.
    :param versions: weight versions that made it, in the order in which they began.
    :param score: what the reward call's endpoint said; empty where the item has no such call.
    """

    item: str
    state: str
    output: str = ""
    versions: tuple[int, ...] = ()
    score: str = ""


@dataclass(frozen=True)
class SubmitJob:
    """Asks to accept a job once."""

    job: Job


@dataclass(frozen=True)
class JobAccepted:
    """A majority of the stores holds the job."""


@dataclass(frozen=True)
class UnknownJob:
    """No such job exists for this client account, surely."""


@dataclass(frozen=True)
class ReadResults:
    """
    Asks for results by position.

    :param after: first position, from 0.
    :param hold_s: seconds to wait for a result at that position.
    :param max_bytes: most bytes of output; at least one result is given where there is one.
    :param inline_bytes: with more output than this, only the positions are told; None for no bound.
    """

    job: str
    client_account: str
    after: int
    hold_s: float
    max_bytes: int
    inline_bytes: int | None = None


@dataclass(frozen=True)
class ResultsListed:
    """
    Results are listed, and any store that has applied them may be asked for them.

    :param total: items of the job.
    :param listed: position after the last of the results that fit into one answer.
    """

    total: int
    listed: int


@dataclass(frozen=True)
class ReadListed:
    """
    Asks a store, which need not lead, for results that its leader said are listed.

    :param after: first position.
    :param listed: position after the last one.
    """

    job: str
    client_account: str
    after: int
    listed: int


@dataclass(frozen=True)
class ResultsRead:
    """
    Results from a position on.

    :param total: items of the job.
    """

    total: int
    results: tuple[ItemResult, ...]


@dataclass(frozen=True)
class ReadBody:
    """Asks for the body of an item that is not listed yet."""

    job: str
    client_account: str
    item: str


@dataclass(frozen=True)
class BodyRead:
    """The body; None for an item that is listed, ended or not of the job."""

    body: bytes | None


@dataclass(frozen=True)
class EndJob:
    """Asks to end a job; results that stand stay readable."""

    job: str
    client_account: str


@dataclass(frozen=True)
class JobEnded:
    """Nothing of the job starts to run from here on."""


@dataclass(frozen=True)
class Assignment:
    """
    An item to be run at an endpoint, and to be scored after that.

    :param number: names the assignment under one epoch.
    :param endpoint: id of the endpoint; empty where the item's text is whole and only its reward
        call is left.
    :param incarnation: incarnation of the endpoint.
    :param address: IP:port of the endpoint.
    :param expected_version: weight version that the endpoint is believed to have; None for any.
    :param resume_after: events that an earlier run made already; 0 begins anew.
    :param deadline_s: seconds that the run may take.
    :param max_attempts: failures after which the item is given up, also of its reward call.
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


@dataclass(frozen=True)
class TakeWork:
    """
    A runner asks for work.

    :param runner: address of the daemon that runs it.
    :param epoch: epoch of the dispatcher that it worked for last.
    :param sequence: rises with each of the runner's calls of an incarnation.
    :param running: numbers of the assignments that it holds under that epoch.
    :param free: how many more it takes.
    :param events: events that each of `running` made so far, in the same order.
    :param hold_s: seconds to wait for work.
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


@dataclass(frozen=True)
class Work:
    """
    What a runner is to do.

    :param epoch: rises with each leader of the jobs' log; work of an earlier epoch ends.
    :param cancelled: numbers of assignments to stop.
    :param moved: numbers of assignments to stop and to report, since their items go on elsewhere.
    """

    epoch: int
    assignments: tuple[Assignment, ...] = ()
    cancelled: tuple[int, ...] = ()
    moved: tuple[int, ...] = ()


@dataclass(frozen=True)
class Outcome:
    """
    How a run ended, or what it made meanwhile.

    :param kind: PART, where it goes on; `done`; `failed`, where the endpoint said that this run
        failed; `impossible`, where it said that no run can succeed; `broken`, where the stream
        broke or went silent; `turned_away`, where the endpoint did not run it; `stale`, where it
        has another version; `unscored`, where the reward call failed as often as it may.
    :param output: data of the events that this run made since its last part, joined by line feeds.
    :param events: how many these are.
    :param versions: weight versions that made them, in order.
    :param first_s: seconds until its first event; 0.0 where there was none.
    :param after: events of this run in the parts before.
    :param whole: the text ends with them.
    :param score: of a text that is `done`; empty where the item has no reward call.
    :param kept_s: seconds that the endpoint keeps the run's connection open for the next one; 0.0
        where it does not, or where the run did not come to its end.
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


@dataclass(frozen=True)
class TextPart:
    """
    What was made of an item that has not ended.

    :param after: events before it; 0 begins the item's text anew.
    :param output: data of its events, joined by line feeds.
    :param events: how many these are.
    :param versions: weight versions that made them, in order.
    :param whole: the text ends with them; only its score is left to be found.
    """

    item: str
    after: int
    output: str
    events: int
    versions: tuple[int, ...]
    whole: bool = False


@dataclass(frozen=True)
class ReportWork:
    """A runner tells how runs ended and what others made; sent until it is answered."""

    runner: str
    epoch: int
    outcomes: tuple[Outcome, ...]


@dataclass(frozen=True)
class WorkReported:
    """The outcomes were taken in, or belong to an earlier epoch."""


__all__ = [
    "ABANDONED",
    "COMPLETED",
    "PART",
    "Assignment",
    "BodyRead",
    "EndJob",
    "ItemResult",
    "Job",
    "JobAccepted",
    "JobEnded",
    "JobItem",
    "Outcome",
    "ReadBody",
    "ReadListed",
    "ReadResults",
    "ReportWork",
    "ResultsListed",
    "ResultsRead",
    "RewardCall",
    "SubmitJob",
    "TakeWork",
    "TextPart",
    "UnknownJob",
    "Work",
    "WorkReported",
]
