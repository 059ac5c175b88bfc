"""Replays a load pattern through the decision modules: requests served, refused and late."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from bench._patterns import Arrival, Deployment, Pattern, arrivals
from ibisspring_decisions.admission import Admission, Admitted, PeerDemand
from ibisspring_decisions.queueing import FairQueue, Item
from ibisspring_decisions.routing import Candidate, Router
from ibisspring_decisions.slots import entry_slots

ENTRIES = 3
REPORT_S = 1.0
# A client account's rate limit is three times its usual share of the endpoints' capacity.
RATE_FACTOR = 3.0
MAX_RETRIES = 3


@dataclass(frozen=True)
class Policy:
    """
    Which decision modules are used; each one that is off is replaced by a simple rule.

    :param admission: apply rate limits; if off, every request is admitted.
    :param fair: use the fair queue with slots per entry; if off, each request is sent at once and
        the endpoints serve first come, first served.
    :param routing: choose endpoints by load; if off, round robin.
    """

    name: str
    admission: bool = True
    fair: bool = True
    routing: bool = True


BASELINE = Policy("first come, round robin", admission=False, fair=False, routing=False)
FULL_POLICY = Policy("all policies")
POLICIES = (
    BASELINE,
    FULL_POLICY,
    Policy("without admission", admission=False),
    Policy("without fair queue", fair=False),
    Policy("without routing", routing=False),
)


@dataclass(frozen=True)
class Rule:
    """A client account's rate limit."""

    rate_per_s: float
    burst: float


@dataclass
class Outcome:
    """Results of one replay; `wasted_s` is the part of `worked_s` that went into late answers."""

    requested: Counter = field(default_factory=Counter)
    served: Counter = field(default_factory=Counter)
    refused: int = 0
    late: int = 0
    wasted_s: float = 0.0
    worked_s: float = 0.0
    waits_s: list[float] = field(default_factory=list)

    def worst_share(self, excluded: str | None = None) -> float:
        """Return the lowest served share of a client account, without the excluded one."""
        return min(
            self.served[account] / count
            for account, count in self.requested.items()
            if account != excluded
        )

    def served_share(self) -> float:
        return self.served.total() / self.requested.total()

    def wait_95_s(self) -> float:
        """Return the 95th percentile of answer time minus work time, over served requests."""
        waits = sorted(self.waits_s)
        return waits[int(0.95 * (len(waits) - 1))] if waits else 0.0


@dataclass
class Request:
    """One request of a caller with its entry and the count of its tries."""

    arrival: Arrival
    entry: int
    tries: int = 0


class Endpoint:
    """Works on `slots` requests at a time; the others wait in a FIFO queue."""

    def __init__(self, name: str, slots: int, factor: float) -> None:
        self.name = name
        self.slots = slots
        self.factor = factor
        self.running = 0
        self.queue: deque[tuple[Request, Callable[[], None]]] = deque()
        self.reported = (0, 0)


class ServingReplay:
    """Discrete-event replay of one load pattern under one policy."""

    def __init__(self, deployment: Deployment, pattern: Pattern, policy: Policy, seed: int) -> None:
        self.policy = policy
        self.now = 0.0
        self.outcome = Outcome()
        self.capacity = deployment.engines * deployment.slots
        self.endpoint_by_name = {
            f"engine-{number}": Endpoint(
                f"engine-{number}", deployment.slots, pattern.slow_factor if number == 0 else 1.0
            )
            for number in range(deployment.engines)
        }
        accounts = deployment.share_by_client_account
        mean_work_s = 0.4 * (1 - pattern.long_share) + 4.0 * pattern.long_share
        rate = RATE_FACTOR * self.capacity / mean_work_s
        rules = {name: Rule(rate * share, 2 * rate * share) for name, share in accounts.items()}
        self.admissions = [Admission.from_rules(rules, 0.0) for _ in range(ENTRIES)]
        self.queues = [
            FairQueue.from_weights(dict.fromkeys(accounts, 1.0), 1) for _ in range(ENTRIES)
        ]
        self.routers = [
            Router.from_data_centre("derby", random.Random(seed + entry))
            for entry in range(ENTRIES)
        ]
        self.in_flight = [0] * ENTRIES
        self.in_flight_by_endpoint = [Counter() for _ in range(ENTRIES)]
        self.sent_since_report = [Counter() for _ in range(ENTRIES)]
        self.request_by_item: dict[str, Request] = {}
        self.round_robin = itertools.cycle(self.endpoint_by_name)
        self.sequence_numbers = itertools.count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []

    @classmethod
    def from_seed(
        cls, deployment: Deployment, pattern: Pattern, policy: Policy, span_s: float, seed: int
    ) -> ServingReplay:
        serving = cls(deployment, pattern, policy, seed)
        # Callers keep their connections through the load balancer, so that an account's requests
        # come to one or two entries.
        source = random.Random(seed)
        entries_by_account = {
            account: source.sample(range(ENTRIES), 2)
            for account in deployment.share_by_client_account
        }
        for arrival in arrivals(deployment, pattern, span_s, seed):
            request = Request(arrival, source.choice(entries_by_account[arrival.client_account]))
            serving.outcome.requested[arrival.client_account] += 1
            serving.schedule(arrival.at_s, lambda request=request: serving.admit(request))
        for second in range(int(span_s) + 60):
            serving.schedule(second * REPORT_S, serving.exchange)
        return serving

    def schedule(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (at_s, next(self.sequence_numbers), action))

    def run(self) -> Outcome:
        while self.events:
            self.now, _, action = heapq.heappop(self.events)
            action()
        return self.outcome

    def exchange(self) -> None:
        """Deliver load reports and peers' demand to the entries, up to a second late."""
        for endpoint in self.endpoint_by_name.values():
            endpoint.reported = (endpoint.running, len(endpoint.queue))
        demands = [admission.demand(self.now) for admission in self.admissions]
        wanted = [
            self.in_flight[entry] + self.queues[entry].queued_count for entry in range(ENTRIES)
        ]
        for entry in range(ENTRIES):
            others = [other for other in range(ENTRIES) if other != entry]
            peers = tuple(PeerDemand(self.now, demands[other]) for other in others)
            self.admissions[entry].divide_by_demand(peers, self.now)
            wanted_elsewhere = tuple(float(wanted[other]) for other in others)
            slots = entry_slots(self.capacity, float(wanted[entry]), wanted_elsewhere)
            self.queues[entry].slots = slots
            self.sent_since_report[entry].clear()
            for rejected in self.queues[entry].shed_expired(self.now):
                self.reject(self.request_by_item.pop(rejected.item.item_id), rejected.retry_after_s)
            self.send_queued(entry)

    def admit(self, request: Request) -> None:
        account = request.arrival.client_account
        request.tries += 1
        if self.policy.admission:
            answer = self.admissions[request.entry].admit(account, self.now)
            if not isinstance(answer, Admitted):
                self.reject(request, answer.retry_after_s)
                return
        if not self.policy.fair:
            self.send(request.entry, request, None)
            return
        number = str(next(self.sequence_numbers))
        deadline_s = request.arrival.at_s + request.arrival.deadline_s
        item = Item(number, account, request.arrival.expected_s, deadline_s)
        self.request_by_item[number] = request
        for rejected in self.queues[request.entry].offer(item, self.now):
            self.reject(self.request_by_item.pop(rejected.item.item_id), rejected.retry_after_s)
        self.send_queued(request.entry)

    def reject(self, request: Request, retry_after_s: float) -> None:
        """Retry the request after `retry_after_s`, at most `MAX_RETRIES` times by its deadline."""
        retry_at_s = self.now + retry_after_s
        deadline_at_s = request.arrival.at_s + request.arrival.deadline_s
        if retry_at_s >= deadline_at_s or request.tries > MAX_RETRIES:
            self.outcome.refused += 1
            return
        self.schedule(retry_at_s, lambda: self.admit(request))

    def send_queued(self, entry: int) -> None:
        queue = self.queues[entry]
        while self.policy.fair and self.in_flight[entry] < queue.slots:
            taken = queue.take(self.now)
            for rejected in taken.shed:
                self.reject(self.request_by_item.pop(rejected.item.item_id), rejected.retry_after_s)
            if taken.item is None:
                return
            self.send(entry, self.request_by_item.pop(taken.item.item_id), taken.item)

    def send(self, entry: int, request: Request, item: Item | None) -> None:
        name = self.choose(entry)
        endpoint = self.endpoint_by_name[name]
        self.in_flight[entry] += 1
        self.in_flight_by_endpoint[entry][name] += 1
        self.sent_since_report[entry][name] += 1
        sent_s = self.now

        def on_answer() -> None:
            self.in_flight[entry] -= 1
            self.in_flight_by_endpoint[entry][name] -= 1
            took_s = self.now - sent_s
            self.routers[entry].record_success(name, took_s / request.arrival.expected_s)
            if item is not None:
                self.queues[entry].charge_actual_time(item, took_s)
            self.record_answer(request, endpoint)
            self.send_queued(entry)

        endpoint.queue.append((request, on_answer))
        self.start_queued(endpoint)

    def choose(self, entry: int) -> str:
        if not self.policy.routing:
            return next(self.round_robin)
        candidates = tuple(
            Candidate(
                name,
                "derby",
                "standard",
                *endpoint.reported,
                endpoint.slots,
                self.in_flight_by_endpoint[entry][name],
                self.sent_since_report[entry][name],
            )
            for name, endpoint in self.endpoint_by_name.items()
        )
        return self.routers[entry].choose(candidates, self.now)

    def start_queued(self, endpoint: Endpoint) -> None:
        while endpoint.queue and endpoint.running < endpoint.slots:
            request, on_answer = endpoint.queue.popleft()
            endpoint.running += 1

            def on_work_done(on_answer: Callable[[], None] = on_answer) -> None:
                endpoint.running -= 1
                on_answer()
                self.start_queued(endpoint)

            self.schedule(self.now + request.arrival.work_s * endpoint.factor, on_work_done)

    def record_answer(self, request: Request, endpoint: Endpoint) -> None:
        arrival = request.arrival
        spent_s = arrival.work_s * endpoint.factor
        self.outcome.worked_s += spent_s
        if self.now > arrival.at_s + arrival.deadline_s:
            self.outcome.late += 1
            self.outcome.wasted_s += spent_s
            return
        self.outcome.served[arrival.client_account] += 1
        self.outcome.waits_s.append(self.now - arrival.at_s - arrival.work_s)


__all__ = ["BASELINE", "POLICIES", "FULL_POLICY", "Outcome", "Policy", "ServingReplay"]
