"""Messages about requests that are suspected of ending the endpoints that run them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class EndpointEnd:
    """
    An endpoint ended while it ran a request.

    :param endpoint: id of the endpoint.
    :param incarnation: number of the start that ended.
    :param daemon: the entry that had sent the request.
    :param request: id that the caller gave this attempt.
    :param in_flight: requests that the entry had sent to the endpoint and that were not answered.
    :param wall_s: time of the end, in seconds since 1970.
    :param in_trial: whether the request was sent in a trial.
    """

    endpoint: str
    incarnation: int
    daemon: str
    request: str
    in_flight: int
    wall_s: float
    in_trial: bool = False


@dataclass(frozen=True)
class CrashSuspect:
    """
    A request under which endpoints ended.

    :param identity: digest of the request, the same for each repetition by its caller.
    :param service: service of the endpoints.
    :param client_account: account of the caller; empty on a public route.
    :param method: HTTP method.
    :param target: path and query, shortened.
    :param ends: the ends, oldest first; each start of an endpoint is contained once.
    """

    identity: str
    service: str
    client_account: str
    method: str
    target: str
    ends: tuple[EndpointEnd, ...]


@dataclass(frozen=True)
class SuspectSummary:
    """
    What entries need to know of a suspect.

    :param ends: number of endpoints that ended under it.
    :param in_trial: whether one of them ended in a trial.
    """

    ends: int
    in_trial: bool


@dataclass(frozen=True)
class ReportEnd:
    """
    An entry reports that an endpoint ended while it ran a request.

    :param suspect: the request, with this end alone.
    """

    suspect: CrashSuspect


@dataclass(frozen=True)
class ClearSuspect:
    """
    An entry reports that an endpoint answered a suspect, or an operator releases a request.

    :param identity: identity of the request.
    :param known_ends: number of ends that the sender knows of. With more of them, nothing is
        changed: they are newer than the answer.
    :param operator: name of the operator who releases the request; empty for an answer.
    """

    identity: str
    known_ends: int
    operator: str = ""


@dataclass(frozen=True)
class SuspectsChanged:
    """
    Answer to `ReportEnd` and `ClearSuspect`: the suspects are durable as far as this change.

    :param change: number of the newest change of any suspect.
    :param summary: what is known of the request now.
    """

    change: int
    summary: SuspectSummary


@dataclass(frozen=True)
class StartTrial:
    """
    An entry asks whether it may send a suspect with two ends once.

    :param time_limit_s: seconds until the request is over.
    :param other_endpoints: serving endpoints of the service beside the one that the request may
        end, as the entry knows them; None where the leader counts them itself.
    """

    identity: str
    service: str
    time_limit_s: float
    other_endpoints: int | None = None


@dataclass(frozen=True)
class TrialStarted:
    """
    Answer to `StartTrial`.

    :param allowed: whether the request may be sent, within the time limit of the question.
    """

    allowed: bool


@dataclass(frozen=True)
class ReadSuspects:
    """Asks for the suspects, after a quorum confirmed that no newer ones are committed."""


@dataclass(frozen=True)
class SuspectsRead:
    """
    Answer to `ReadSuspects`.

    :param suspects: all known suspects, those with the most ends first.
    """

    suspects: tuple[CrashSuspect, ...]


__all__ = [
    "ClearSuspect",
    "CrashSuspect",
    "EndpointEnd",
    "ReadSuspects",
    "ReportEnd",
    "StartTrial",
    "SuspectSummary",
    "SuspectsChanged",
    "SuspectsRead",
    "TrialStarted",
]
