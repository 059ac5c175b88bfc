"""
Replays an overload: three accounts submit jobs to engines that cannot run all of them in time.

Items start by due time as in the dispatcher, one in each slot. Jobs state their expected work, and
their callers stop the rest of a job once its wanted groups are whole.
"""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field

from ibisspring_decisions.group_order import GroupWork
from ibisspring_decisions.job_admission import (
    AdmissionInputs,
    CandidateJob,
    EngineUse,
    JobAdmitted,
    Reservation,
    decide_admission,
    holds_place,
    rejection_without_place,
    repeated_rejection,
)

SLOTS = 96
GROUPS = 12
WANTED = 11
ITEMS_IN_GROUP = 4
DUE_S = 7.5
GIVE_UP_S = 30.0
LASTS_S = 60.0
DEMAND_BY_ACCOUNT = {"a": 0.7, "b": 0.15, "c": 0.15}
LONG_ITEM_S = 3.6
SHORT_ITEM_S = 0.72
LONG_SHARE = 1 / 12
MEAN_ITEM_S = LONG_SHARE * LONG_ITEM_S + (1 - LONG_SHARE) * SHORT_ITEM_S
JOB_SLOT_S = GROUPS * ITEMS_IN_GROUP * MEAN_ITEM_S


@dataclass
class ReplayedJob:
    """
    A job of the replay.

    :param seconds_by_item: seconds that each item takes, by group and item.
    :param expected_by_item: the caller's estimates of these seconds.
    :param open_items: items that have not ended.
    :param whole_at_s: times at which groups were whole.
    :param refused: number of times that it was rejected.
    """

    name: str
    account: str
    arrival_s: float
    seconds_by_item: dict[tuple[int, int], float]
    expected_by_item: dict[tuple[int, int], float]
    open_items: set[tuple[int, int]] = field(default_factory=set)
    whole_at_s: list[float] = field(default_factory=list)
    refused: int = 0
    predicted_end_s: float | None = None

    @property
    def done(self) -> bool:
        return len(self.whole_at_s) >= WANTED

    def in_time(self) -> int:
        """Number of wanted groups that were whole before the job was due."""
        due_s = self.arrival_s + DUE_S
        return min(WANTED, sum(at_s <= due_s for at_s in self.whole_at_s))

    def served(self) -> int:
        """Number of wanted groups that were whole before the job was given up."""
        return min(WANTED, len(self.whole_at_s))

    def works(self, started: dict, now: float) -> tuple[GroupWork, ...]:
        works = []
        for group in sorted({key[0] for key in self.open_items}):
            left = []
            for key in sorted(self.open_items):
                if key[0] != group:
                    continue
                ran_s = now - started.get((self.name, key), now)
                left.append(max(0.1, self.expected_by_item[key] - ran_s))
            works.append(
                GroupWork(
                    (self.name, str(group)),
                    self.account,
                    0,
                    self.arrival_s + DUE_S,
                    False,
                    GROUPS - len(self.whole_at_s),
                    sum(left),
                    max(left),
                )
            )
        return tuple(works)


def arrivals(load: float, seed: int) -> list[ReplayedJob]:
    """Draw the jobs of an overload, as a multiple of what the slots can run."""
    chance = random.Random(seed)
    jobs = []
    for account, share in DEMAND_BY_ACCOUNT.items():
        every_s = JOB_SLOT_S / (load * share * SLOTS)
        at_s = chance.random() * every_s
        while at_s < LASTS_S:
            seconds_by_item = {}
            expected_by_item = {}
            for key in itertools.product(range(GROUPS), range(ITEMS_IN_GROUP)):
                mean_s = LONG_ITEM_S if chance.random() < LONG_SHARE else SHORT_ITEM_S
                seconds_by_item[key] = mean_s * chance.uniform(0.7, 1.3)
                expected_by_item[key] = mean_s
            name = f"{account}{len(jobs)}"
            jobs.append(ReplayedJob(name, account, at_s, seconds_by_item, expected_by_item))
            at_s += every_s * chance.uniform(0.5, 1.5)
    return sorted(jobs, key=lambda job: job.arrival_s)


class Replay:
    """
    One replay.

    :param admits: whether jobs are rejected as `decide_admission` says; all are accepted otherwise.
    """

    def __init__(self, load: float, seed: int, admits: bool) -> None:
        self.jobs = arrivals(load, seed)
        self.reservation_by_job: dict[str, Reservation] = {}
        self.places = 0
        self.kept_places = 0
        self.errors_s: list[float] = []
        self._admits = admits
        self._accepted: dict[str, ReplayedJob] = {}
        self._started: dict = {}
        self._waiting: list = []
        self._events: list = []
        self._number = itertools.count()

    def run(self) -> Replay:
        for job in self.jobs:
            self._push(job.arrival_s, "submit", job)
        while self._events:
            now, _, kind, subject = heapq.heappop(self._events)
            if kind == "submit":
                self._submit(subject, now)
            elif subject in self._started:
                self._end_item(subject, now)
            self._start_items(now)
        return self

    def _push(self, at_s: float, kind: str, subject: object) -> None:
        heapq.heappush(self._events, (at_s, next(self._number), kind, subject))

    def _submit(self, job: ReplayedJob, now: float) -> None:
        if now > job.arrival_s + GIVE_UP_S:
            return
        if not self._admits:
            self._accept(job, now, None)
            return
        kept = self.reservation_by_job.get(job.name)
        if kept is not None and repeated_rejection(kept, now, now) is not None:
            raise AssertionError("a job came back before its time")
        if kept is not None and holds_place(kept, now):
            self.kept_places += 1
            del self.reservation_by_job[job.name]
            self._accept(job, now, None)
            return
        candidate = CandidateJob(
            job.name,
            "lm",
            job.account,
            job.arrival_s,
            job.arrival_s + DUE_S,
            job.arrival_s + GIVE_UP_S,
            self._works_of_new(job, now),
        )
        decision = decide_admission(candidate, self._inputs(now), now)
        if isinstance(decision, JobAdmitted):
            self.reservation_by_job.pop(job.name, None)
            self._accept(job, now, decision.predicted_end_s)
            return
        job.refused += 1
        reservation = decision.reservation
        self.places += reservation is not None
        self.reservation_by_job[job.name] = reservation or rejection_without_place(
            candidate, decision.retry_after_s, now
        )
        if decision.retry_after_s is not None:
            self._push(now + decision.retry_after_s, "submit", job)

    def _works_of_new(self, job: ReplayedJob, now: float) -> tuple[GroupWork, ...]:
        job.open_items = set(job.seconds_by_item)
        return job.works({}, now)

    def _inputs(self, now: float) -> AdmissionInputs:
        works = []
        for job in self._accepted.values():
            works.extend(job.works(self._started, now))
        waiting = sum(entry[-1][0] in self._accepted for entry in self._waiting)
        use = EngineUse(SLOTS, len(self._started), waiting)
        return AdmissionInputs(tuple(works), tuple(self.reservation_by_job.values()), use)

    def _accept(self, job: ReplayedJob, now: float, predicted_end_s: float | None) -> None:
        job.open_items = set(job.seconds_by_item)
        job.predicted_end_s = predicted_end_s
        self._accepted[job.name] = job
        for key, expected_s in job.expected_by_item.items():
            entry = (job.arrival_s + DUE_S, -expected_s, next(self._number), (job.name, key))
            heapq.heappush(self._waiting, entry)

    def _start_items(self, now: float) -> None:
        while len(self._started) < SLOTS and self._waiting:
            key = heapq.heappop(self._waiting)[-1]
            job = self._accepted.get(key[0])
            if job is None:
                continue
            if now > job.arrival_s + GIVE_UP_S:
                self._remove(job)
                continue
            self._started[key] = now
            self._push(now + job.seconds_by_item[key[1]], "end", key)

    def _end_item(self, key: tuple, now: float) -> None:
        del self._started[key]
        job = self._accepted[key[0]]
        job.open_items.discard(key[1])
        if all(open_key[0] != key[1][0] for open_key in job.open_items):
            job.whole_at_s.append(now)
        if job.done:
            if job.predicted_end_s is not None:
                self.errors_s.append(now - job.predicted_end_s)
            self._remove(job)

    def _remove(self, job: ReplayedJob) -> None:
        del self._accepted[job.name]
        for key in [key for key in self._started if key[0] == job.name]:
            del self._started[key]

    def share_in_time(self, account: str = "") -> float:
        """Share of the wanted groups, of one account or of all, that were in time."""
        jobs = [job for job in self.jobs if account in ("", job.account)]
        return sum(job.in_time() for job in jobs) / (WANTED * len(jobs))

    def share_served(self) -> float:
        """Share of the wanted groups that were whole before their jobs were given up."""
        return sum(job.served() for job in self.jobs) / (WANTED * len(self.jobs))


__all__ = ["Replay"]
