"""
Admission control of jobs: which jobs are rejected at once, and when they may return.

Load pattern: trainers submit steps that together need more engine time than the largest fleet has
until the trainers give up. A job that cannot be met holds its trainer until its time limit and
takes slots from jobs that could be met.

A job is accepted if its wanted groups end before they are due. It is also accepted if it is late
and no accepted job becomes late by it, since a late answer still serves its caller. But each late
job makes those that come after it late, so that under a lasting overload all jobs would be late in
the end: late jobs of an account may take only a part of its share of the engines.

A rejected job is given a place: the earliest time from which the engines can run it without making
an accepted job late. An account's places are spread over time by its share, so that an account that
asks for most of the time leaves room for the others and for jobs that can still be in time. A place
counts as taken, so a job that returns in time is always accepted. Slots never wait for a returning
job.

All times are on the wall clock, in seconds since 1970.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ibisspring_decisions.engine_room import NEVER, EngineRoom, FurtherSlots
from ibisspring_decisions.job_ends import fluid_ends, wanted_groups

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from ibisspring_decisions.group_order import GroupWork
    from ibisspring_decisions.job_ends import EndPredictor

# Part of the slots that must run items before any job is rejected.
MIN_USED_PART = 0.5
# Shortest time after which a rejected job may return. A shorter one would have callers repeat their
# submission while the rejection is still being committed.
MIN_RETRY_S = 0.5
# Seconds for which a place is kept after the job may return: a caller whose first answer is lost
# tries once more within this time.
RETURN_WINDOW_S = 3.0
# Seconds by which a job may return early, as clocks differ and headers are rounded.
EARLY_RETURN_S = 0.2
# Parts of an account's share of the engines that its late jobs, and its places, may take. The rest
# is left to jobs that can be in time.
LATE_PART = 0.1
PLACE_PART = 0.15
# Part of the time left after which a job without a place may ask again, so that it asks a few times
# until its limits and not with each job that ends.
RETRY_PART = 0.25
# Number of times at which a place is looked for between now and the last time that makes sense.
PLACE_TRIALS = 40


@dataclass(frozen=True)
class Reservation:
    """
    A place that was promised to a rejected job, as it is kept in the log.

    :param job: id of the rejected job.
    :param service: name of its service.
    :param client_account: account that submitted it.
    :param first_seen_s: wall-clock time of its first submission, in seconds since 1970; its time
        limits count from then.
    :param not_before_s: wall-clock time from which the job finds its place.
    :param expires_s: wall-clock time after which the place is given to others.
    :param slot_s: reserved slot-seconds; 0 for a job that was rejected without a place, which is
        decided on again from `not_before_s` on.
    """

    job: str
    service: str
    client_account: str
    first_seen_s: float
    not_before_s: float
    expires_s: float
    slot_s: float


@dataclass(frozen=True)
class JobAdmitted:
    """The job is accepted; `predicted_end_s` is the wall-clock time of its last wanted group."""

    predicted_end_s: float


@dataclass(frozen=True)
class JobRejected:
    """
    The job is rejected and none of its items has run.

    :param reservation: the place that the job finds when it returns; None if it cannot be met at
        any time before its time limit.
    :param retry_after_s: seconds until the place is free, or without a reservation, until an
        accepted job is expected to end; None if a new submission cannot help before its limits.
    :param predicted_end_s: when its last wanted group would have ended.
    """

    reservation: Reservation | None
    retry_after_s: float | None
    predicted_end_s: float = NEVER


@dataclass(frozen=True)
class CandidateJob:
    """
    A job that asks for admission.

    :param first_seen_s: time of its first submission.
    :param give_up_s: time after which its caller gives it up.
    :param groups: its groups, which state its account, its priority and when it is due.
    """

    job: str
    service: str
    client_account: str
    first_seen_s: float
    due_s: float
    give_up_s: float
    groups: tuple[GroupWork, ...]


@dataclass(frozen=True)
class EngineUse:
    """
    How the engines of a service are used now, and what orders can still add.

    :param slots: number of slots of all engines that serve.
    :param running: number of slots that run an item.
    :param waiting: number of items that wait for a slot.
    :param further: slots that orders can still bring.
    """

    slots: int
    running: int
    waiting: int
    further: tuple[FurtherSlots, ...] = ()

    @property
    def all_slots(self) -> float:
        """Slots of the engines that serve and of those that can be added."""
        return self.slots + sum(added.slots for added in self.further)

    @property
    def has_room(self) -> bool:
        """
        Whether slots idle while nothing waits, or the engines are less than half full.

        A service without engines counts as having room: how much it will have is not known.
        """
        if not self.slots:
            return True
        idle = self.running < self.slots and not self.waiting
        return idle or self.running < self.slots * MIN_USED_PART


@dataclass(frozen=True)
class AdmissionInputs:
    """
    What the decision on a job depends on besides the job.

    :param groups: groups with remaining work of all accepted jobs of the service.
    :param reservations: places at the service that were promised and are not taken yet.
    :param use: the engines' use.
    :param weight_by_account: weights of the accounts' shares; an account without one weighs 1.
    """

    groups: tuple[GroupWork, ...]
    reservations: tuple[Reservation, ...]
    use: EngineUse
    weight_by_account: Mapping[str, float] = field(default_factory=dict)


def decide_admission(
    candidate: CandidateJob,
    inputs: AdmissionInputs,
    now: float,
    predict: EndPredictor = fluid_ends,
) -> JobAdmitted | JobRejected:
    """
    Accept or reject a job that has neither been accepted nor holds a place.

    :param now: present time.
    :param predict: predicts the ends of the accepted jobs and of this one.
    """
    room = room_beside_places(inputs, now)
    with_candidate = predict((*inputs.groups, *candidate.groups), room.copy(), now)
    end_s = with_candidate.get(candidate.job, now)
    if inputs.use.has_room or not candidate.groups:
        return JobAdmitted(end_s)
    end_by_job = predict(inputs.groups, room.copy(), now)
    due_by_job = _met_due_times(candidate, inputs.groups, end_by_job)
    if _all_met(due_by_job, with_candidate):
        if end_s <= candidate.due_s:
            return JobAdmitted(end_s)
        if end_s <= candidate.give_up_s and _may_be_late(candidate, inputs, end_by_job, now):
            return JobAdmitted(end_s)
    place = _find_place(candidate, inputs, room, due_by_job, now, predict)
    if place is not None:
        return JobRejected(place, place.not_before_s - now, end_s)
    return JobRejected(None, _next_chance_s(candidate, inputs, end_by_job, now), end_s)


def repeated_rejection(kept: Reservation, asked_s: float, now: float) -> JobRejected | None:
    """
    Return the answer to a rejected job that is submitted again before its time.

    :param kept: its reservation.
    :param asked_s: when the submission was sent.
    :param now: present time, from which the caller waits.
    :return: the same rejection as before; None if its time has come.
    """
    if asked_s >= kept.not_before_s - EARLY_RETURN_S:
        return None
    reservation = kept if kept.slot_s else None
    return JobRejected(reservation, max(0.0, kept.not_before_s - now))


def holds_place(kept: Reservation, now: float) -> bool:
    """Whether a reservation holds a place that has not expired."""
    return kept.slot_s > 0 and now <= kept.expires_s


def rejection_without_place(
    candidate: CandidateJob, retry_after_s: float | None, now: float
) -> Reservation:
    """
    Return the record of a rejection without a place, which keeps the first submission's time.

    :param retry_after_s: seconds after which the job is decided on again; None for never.
    """
    not_before_s = candidate.give_up_s if retry_after_s is None else now + retry_after_s
    return Reservation(
        job=candidate.job,
        service=candidate.service,
        client_account=candidate.client_account,
        first_seen_s=candidate.first_seen_s,
        not_before_s=not_before_s,
        expires_s=max(candidate.give_up_s, now + RETURN_WINDOW_S),
        slot_s=0.0,
    )


def room_beside_places(inputs: AdmissionInputs, now: float) -> EngineRoom:
    """Return the room of the engines without the slot-seconds of the promised places."""
    room = EngineRoom(now, inputs.use.slots, inputs.use.further)
    for kept in sorted(inputs.reservations, key=lambda kept: (kept.not_before_s, kept.job)):
        if holds_place(kept, now):
            room.take(kept.slot_s, kept.not_before_s)
    return room


def _met_due_times(
    candidate: CandidateJob, groups: Sequence[GroupWork], end_by_job: Mapping[str, float]
) -> dict[str, float]:
    """Return, by job, the due times that are met without the candidate and not to be missed."""
    rank = min((group.priority for group in candidate.groups), default=0)
    return {
        group.key[0]: group.due_s
        for group in groups
        if group.priority <= rank and end_by_job[group.key[0]] <= group.due_s
    }


def _all_met(due_by_job: Mapping[str, float], end_by_job: Mapping[str, float]) -> bool:
    return all(end_by_job[job] <= due_s for job, due_s in due_by_job.items())


def _may_be_late(
    candidate: CandidateJob, inputs: AdmissionInputs, end_by_job: Mapping[str, float], now: float
) -> bool:
    """Whether the late jobs of the candidate's account take little enough with the candidate."""
    late_s = sum(group.remaining_s for group in wanted_groups(candidate.groups))
    for group in inputs.groups:
        if group.client_account != candidate.client_account:
            continue
        if end_by_job[group.key[0]] > group.due_s:
            late_s += group.remaining_s
    slots = LATE_PART * _share_of_slots(candidate, inputs, now)
    return late_s <= slots * (candidate.give_up_s - now)


def _find_place(
    candidate: CandidateJob,
    inputs: AdmissionInputs,
    room: EngineRoom,
    due_by_job: Mapping[str, float],
    now: float,
    predict: EndPredictor,
) -> Reservation | None:
    wanted = wanted_groups(candidate.groups)
    slot_s = sum(group.remaining_s for group in wanted)
    longest_s = max(group.longest_s for group in wanted)
    first_s = now + max(MIN_RETRY_S, _reserved_lead_s(candidate, inputs, now))
    last_s = candidate.give_up_s - longest_s
    if last_s < first_s or slot_s <= 0:
        return None
    for trial in range(PLACE_TRIALS + 1):
        start_s = first_s + (last_s - first_s) * trial / PLACE_TRIALS
        left = room.copy()
        if left.take(slot_s, start_s) > candidate.give_up_s:
            return None
        if not _all_met(due_by_job, predict(inputs.groups, left, now)):
            continue
        return Reservation(
            job=candidate.job,
            service=candidate.service,
            client_account=candidate.client_account,
            first_seen_s=candidate.first_seen_s,
            not_before_s=start_s,
            expires_s=start_s + RETURN_WINDOW_S,
            slot_s=slot_s,
        )
    return None


def _reserved_lead_s(candidate: CandidateJob, inputs: AdmissionInputs, now: float) -> float:
    """Return the seconds that the account's places take of its share of the slots."""
    reserved_s = sum(
        kept.slot_s
        for kept in inputs.reservations
        if kept.client_account == candidate.client_account and holds_place(kept, now)
    )
    if not reserved_s:
        return 0.0
    slots = PLACE_PART * _share_of_slots(candidate, inputs, now)
    return reserved_s / slots if slots else NEVER


def _share_of_slots(candidate: CandidateJob, inputs: AdmissionInputs, now: float) -> float:
    """Return the account's weighted share of all slots among the accounts that compete."""
    accounts = {candidate.client_account, *(group.client_account for group in inputs.groups)}
    accounts.update(kept.client_account for kept in inputs.reservations if holds_place(kept, now))
    weights = {account: inputs.weight_by_account.get(account, 1.0) for account in accounts}
    return inputs.use.all_slots * weights[candidate.client_account] / sum(weights.values())


def _next_chance_s(
    candidate: CandidateJob,
    inputs: AdmissionInputs,
    end_by_job: Mapping[str, float],
    now: float,
) -> float | None:
    """Return the seconds after which a job without a place may ask again; None for never."""
    ends = [end_s - now for end_s in end_by_job.values() if end_s > now]
    retry_s = max(min(ends, default=MIN_RETRY_S), RETRY_PART * (candidate.give_up_s - now))
    retry_s = max(retry_s, MIN_RETRY_S)
    wanted = wanted_groups(candidate.groups)
    slots = inputs.use.all_slots
    shortest_s = max(group.longest_s for group in wanted)
    if slots:
        shortest_s = max(shortest_s, sum(group.remaining_s for group in wanted) / slots)
    return retry_s if now + retry_s + shortest_s <= candidate.give_up_s else None


__all__ = [
    "EARLY_RETURN_S",
    "MIN_RETRY_S",
    "RETURN_WINDOW_S",
    "AdmissionInputs",
    "CandidateJob",
    "EngineUse",
    "JobAdmitted",
    "JobRejected",
    "Reservation",
    "decide_admission",
    "holds_place",
    "rejection_without_place",
    "repeated_rejection",
    "room_beside_places",
]
