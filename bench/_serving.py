"""Replays a load pattern through the decision modules: who is served, refused, late."""

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
# An account's rate is three times its usual share of what the endpoints can do.
RATE_FACTOR = 3.0
CALLER_COMES_BACK = 3


@dataclass(frozen=True)
class Policy:
    """
    Which decision modules take part; without one its plain counterpart does.

    :param admission: else everybody is let in.
    :param fair: the fair queue with slots per entry; else all is sent at once, first come first
        served at the endpoints.
    :param routing: else round robin.
    """

    name: str
    admission: bool = True
    fair: bool = True
    routing: bool = True


BASELINE = Policy("first come, round robin", admission=False, fair=False, routing=False)
WHOLE = Policy("all policies")
POLICIES = (
    BASELINE,
    WHOLE,
    Policy("without admission", admission=False),
    Policy("without fair queue", fair=False),
    Policy("without routing", routing=False),
)


@dataclass(frozen=True)
class Rule:
    """A client account's rate."""

    rate_per_s: float
    burst: float


@dataclass
class Outcome:
    """What the callers received."""

    asked: Counter = field(default_factory=Counter)
    served: Counter = field(default_factory=Counter)
    refused: int = 0
    late: int = 0
    wasted_s: float = 0.0
    worked_s: float = 0.0
    waits_s: list[float] = field(default_factory=list)

    def worst_share(self, left_out: str | None = None) -> float:
        """Served share of the worst-served client account, the hot one left out."""
        return min(
            self.served[account] / count
            for account, count in self.asked.items()
            if account != left_out
        )

    def served_share(self) -> float:
        return self.served.total() / self.asked.total()

    def wait_95_s(self) -> float:
        """95th percentile of the wait of those served: answer time less own work."""
        waits = sorted(self.waits_s)
        return waits[int(0.95 * (len(waits) - 1))] if waits else 0.0


@dataclass
class Request:
    """One request of a caller, over its tries."""

    arrival: Arrival
    entry: int
    tries: int = 0


class Endpoint:
    """Works on `slots` requests at a time, the rest waits first come, first served."""

    def __init__(self, name: str, slots: int, factor: float) -> None:
        self.name = name
        self.slots = slots
        self.factor = factor
        self.running = 0
        self.line: deque[tuple[Request, Callable[[], None]]] = deque()
        self.reported = (0, 0)


class Serving:
    """One replay."""

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
        self.flying = [Counter() for _ in range(ENTRIES)]
        self.since = [Counter() for _ in range(ENTRIES)]
        self.request_by_item: dict[str, Request] = {}
        self.turn = itertools.cycle(self.endpoint_by_name)
        self.numbers = itertools.count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []

    @classmethod
    def from_seed(
        cls, deployment: Deployment, pattern: Pattern, policy: Policy, span_s: float, seed: int
    ) -> Serving:
        serving = cls(deployment, pattern, policy, seed)
        # The balancer keeps connections: an account's callers sit on one or two entries.
        source = random.Random(seed)
        homes = {
            account: source.sample(range(ENTRIES), 2)
            for account in deployment.share_by_client_account
        }
        for arrival in arrivals(deployment, pattern, span_s, seed):
            request = Request(arrival, source.choice(homes[arrival.client_account]))
            serving.outcome.asked[arrival.client_account] += 1
            serving.at(arrival.at_s, lambda request=request: serving.arrive(request))
        for second in range(int(span_s) + 60):
            serving.at(second * REPORT_S, serving.exchange)
        return serving

    def at(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (when, next(self.numbers), action))

    def run(self) -> Outcome:
        while self.events:
            self.now, _, action = heapq.heappop(self.events)
            action()
        return self.outcome

    def exchange(self) -> None:
        """Reports and demand reach the entries, a second late."""
        for endpoint in self.endpoint_by_name.values():
            endpoint.reported = (endpoint.running, len(endpoint.line))
        demands = [admission.demand(self.now) for admission in self.admissions]
        wanted = [self.in_flight[entry] + self.queues[entry].waiting for entry in range(ENTRIES)]
        for entry in range(ENTRIES):
            others = [other for other in range(ENTRIES) if other != entry]
            peers = tuple(PeerDemand(self.now, demands[other]) for other in others)
            self.admissions[entry].share(peers, self.now)
            elsewhere = tuple(float(wanted[other]) for other in others)
            slots = entry_slots(self.capacity, float(wanted[entry]), elsewhere)
            self.queues[entry].slots = slots
            self.since[entry].clear()
            for shed in self.queues[entry].expire(self.now):
                self.refuse(self.request_by_item.pop(shed.item.item_id), shed.retry_after_s)
            self.pump(entry)

    def arrive(self, request: Request) -> None:
        account = request.arrival.client_account
        request.tries += 1
        if self.policy.admission:
            answer = self.admissions[request.entry].ask(account, self.now)
            if not isinstance(answer, Admitted):
                self.refuse(request, answer.retry_after_s)
                return
        if not self.policy.fair:
            self.send(request.entry, request, None)
            return
        number = str(next(self.numbers))
        deadline_s = request.arrival.at_s + request.arrival.deadline_s
        item = Item(number, account, request.arrival.expected_s, deadline_s)
        self.request_by_item[number] = request
        for shed in self.queues[request.entry].offer(item, self.now):
            self.refuse(self.request_by_item.pop(shed.item.item_id), shed.retry_after_s)
        self.pump(request.entry)

    def refuse(self, request: Request, retry_after_s: float) -> None:
        """The caller comes back when it was told to, while it still waits for an answer."""
        back_s = self.now + retry_after_s
        gives_up_s = request.arrival.at_s + request.arrival.deadline_s
        if back_s >= gives_up_s or request.tries > CALLER_COMES_BACK:
            self.outcome.refused += 1
            return
        self.at(back_s, lambda: self.arrive(request))

    def pump(self, entry: int) -> None:
        queue = self.queues[entry]
        while self.policy.fair and self.in_flight[entry] < queue.slots:
            turn = queue.take(self.now)
            for shed in turn.shed:
                self.refuse(self.request_by_item.pop(shed.item.item_id), shed.retry_after_s)
            if turn.item is None:
                return
            self.send(entry, self.request_by_item.pop(turn.item.item_id), turn.item)

    def send(self, entry: int, request: Request, item: Item | None) -> None:
        name = self.choose(entry)
        endpoint = self.endpoint_by_name[name]
        self.in_flight[entry] += 1
        self.flying[entry][name] += 1
        self.since[entry][name] += 1
        sent_s = self.now

        def ended() -> None:
            self.in_flight[entry] -= 1
            self.flying[entry][name] -= 1
            took_s = self.now - sent_s
            self.routers[entry].answered(name, took_s / request.arrival.expected_s)
            if item is not None:
                self.queues[entry].correct(item, took_s)
            self.answered(request, endpoint)
            self.pump(entry)

        endpoint.line.append((request, ended))
        self.work(endpoint)

    def choose(self, entry: int) -> str:
        if not self.policy.routing:
            return next(self.turn)
        candidates = tuple(
            Candidate(
                name,
                "derby",
                "standard",
                *endpoint.reported,
                endpoint.slots,
                self.flying[entry][name],
                self.since[entry][name],
            )
            for name, endpoint in self.endpoint_by_name.items()
        )
        return self.routers[entry].choose(candidates, self.now)

    def work(self, endpoint: Endpoint) -> None:
        while endpoint.line and endpoint.running < endpoint.slots:
            request, ended = endpoint.line.popleft()
            endpoint.running += 1

            def done(ended: Callable[[], None] = ended) -> None:
                endpoint.running -= 1
                ended()
                self.work(endpoint)

            self.at(self.now + request.arrival.work_s * endpoint.factor, done)

    def answered(self, request: Request, endpoint: Endpoint) -> None:
        arrival = request.arrival
        spent_s = arrival.work_s * endpoint.factor
        self.outcome.worked_s += spent_s
        if self.now > arrival.at_s + arrival.deadline_s:
            self.outcome.late += 1
            self.outcome.wasted_s += spent_s
            return
        self.outcome.served[arrival.client_account] += 1
        self.outcome.waits_s.append(self.now - arrival.at_s - arrival.work_s)


__all__ = ["BASELINE", "POLICIES", "WHOLE", "Outcome", "Policy", "Serving"]
