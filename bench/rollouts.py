"""
Trainer idle time and samples discarded as stale, replayed through `ibisspring_decisions.sampling`.

The load pattern is drawn from a seed: samples of very different length, one engine that is slow for
a while, a few attempts that hang, and new weights after each step. The trainer opens its next step
as soon as it has a batch, and publishes after training. Every seed is replayed with the complete
policy and with each part of it switched off.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from bench._patterns import DEPLOYMENTS, Deployment
from bench._report import bar_plot, print_table, spread
from ibisspring_decisions.sampling import (
    AttemptStart,
    SampleState,
    expected_publications,
    is_stale,
    may_start,
    plan_starts,
)

SEEDS = range(5)
STEPS = 12
GROUPS = 24
GROUP_SIZE = 8
MEAN_SAMPLE_S = 6.0
TRAIN_S = 30.0
WEIGHT_LOAD_S = 4.0
STALENESS_BOUNDS = (0, 1)
SLOW_FACTOR = 5.0
HANG_SHARE = 0.005
HANG_S = 120.0
TICK_S = 0.5

Planner = Callable[
    [tuple[SampleState, ...], int, tuple[float, ...], float], tuple[AttemptStart, ...]
]


@dataclass
class Step:
    """A step's samples; `running` is a heap of end, sample, start and version of each attempt."""

    views: list[SampleState]
    version_by_member: dict[int, int] = field(default_factory=dict)
    running: list[tuple[float, int, float, int]] = field(default_factory=list)
    durations_s: list[float] = field(default_factory=list)


@dataclass
class Result:
    """Trainer idle time, and counts of samples made, discarded as stale and started twice."""

    idle_s: float = 0.0
    span_s: float = 0.0
    made: int = 0
    stale: int = 0
    raced: int = 0


def without_races(
    views: tuple[SampleState, ...], free: int, durations_s: tuple[float, ...], now: float
) -> tuple[AttemptStart, ...]:
    """Plan starts without races: no durations are given that would show an attempt to be slow."""
    return plan_starts(views, free, (), now)


@dataclass(frozen=True)
class Policy:
    """
    A sampling policy, complete or with parts switched off.

    :param planner: the function that plans the starts.
    :param holds_back: whether starts are delayed that an expected publication would make stale.
    """

    name: str
    planner: Planner
    holds_back: bool


POLICIES = (
    Policy("whole", plan_starts, True),
    Policy("no races", without_races, True),
    Policy("nothing held back", plan_starts, False),
    Policy("baseline: neither", without_races, False),
)


class Replay:
    """Replay of one trainer that opens a step once it has a batch and publishes after training."""

    def __init__(self, deployment: Deployment, policy: Policy, bound: int, seed: int) -> None:
        self.source = random.Random(f"{deployment.name} {seed}")
        self.policy = policy
        self.bound = bound
        self.publications: tuple[int, ...] = ()
        self.total_slots = deployment.engines * deployment.slots
        self.slow_share = 1 / deployment.engines
        self.now = 0.0
        self.version = 0
        self.loaded_from_s = 0.0
        self.result = Result()

    def run(self) -> Result:
        """Run all steps in sequence and return the figures."""
        trained_at_s = 0.0
        for _ in range(STEPS):
            complete_at_s = self.gather(trained_at_s)
            self.result.idle_s += max(0.0, complete_at_s - trained_at_s)
            trained_at_s = max(complete_at_s, trained_at_s) + TRAIN_S
        self.result.span_s = trained_at_s
        return self.result

    def gather(self, publish_at_s: float) -> float:
        """Run one step, in which the trainer publishes; returns the time of the complete batch."""
        step = Step([SampleState(g, m) for g in range(GROUPS) for m in range(GROUP_SIZE)])
        published = int(publish_at_s <= self.now)
        publications_left = 1 - published
        expected = expected_publications(self.publications) if self.policy.holds_back else 0
        self.publications = (*self.publications, publications_left)
        while True:
            trainer_waits = self.now >= publish_at_s
            if not published and trainer_waits:
                published = 1
                self.version += 1
                self.loaded_from_s = self.now + WEIGHT_LOAD_S
            self.finish(step)
            self.discard(step)
            if trainer_waits and all(view.done for view in step.views):
                return self.now
            if may_start(expected, publications_left * published, self.bound, trainer_waits):
                self.start(step)
            self.now += TICK_S

    def start(self, step: Step) -> None:
        version = self.version if self.now >= self.loaded_from_s else self.version - 1
        # As in the entry, engines whose announced version is too old get no work.
        if is_stale(version, self.version, self.bound):
            return
        free = self.total_slots - len(step.running)
        views = tuple(step.views)
        for start in self.policy.planner(views, free, tuple(step.durations_s), self.now):
            index = start.group * GROUP_SIZE + start.member
            self.result.raced += start.race
            duration_s = self.draw_duration_s()
            heapq.heappush(step.running, (self.now + duration_s, index, self.now, version))
            view = step.views[index]
            step.views[index] = replace(view, attempt_starts_s=(*view.attempt_starts_s, self.now))

    def draw_duration_s(self) -> float:
        """Draw the seconds of one attempt."""
        duration_s = self.source.lognormvariate(0.0, 0.6) * MEAN_SAMPLE_S
        if self.source.random() < HANG_SHARE:
            return duration_s + HANG_S
        in_slow_span = int(self.now / 60) % 4 == 1
        if in_slow_span and self.source.random() < self.slow_share:
            return duration_s * SLOW_FACTOR
        return duration_s

    def finish(self, step: Step) -> None:
        while step.running and step.running[0][0] <= self.now:
            _, index, started_s, version = heapq.heappop(step.running)
            view = step.views[index]
            if view.done:
                continue
            self.result.made += 1
            step.version_by_member[index] = version
            step.durations_s.append(self.now - started_s)
            step.views[index] = replace(view, done=True, attempt_starts_s=())
            step.running = [entry for entry in step.running if entry[1] != index]
            heapq.heapify(step.running)

    def discard(self, step: Step) -> None:
        for index, version in list(step.version_by_member.items()):
            if is_stale(version, self.version, self.bound):
                self.result.stale += 1
                del step.version_by_member[index]
                step.views[index] = replace(step.views[index], done=False)


def main() -> None:
    """Print the table and draw the plot."""
    rows = []
    plot: dict[str, dict[str, float]] = {}
    for deployment in DEPLOYMENTS:
        for bound in STALENESS_BOUNDS:
            label = f"{deployment.name}, bound {bound}"
            plot[label] = {}
            for policy in POLICIES:
                results = [Replay(deployment, policy, bound, seed).run() for seed in SEEDS]
                idle = [100 * result.idle_s / result.span_s for result in results]
                stale = [100 * result.stale / result.made for result in results]
                raced = [100 * result.raced / result.made for result in results]
                plot[label][policy.name] = sum(idle) / len(idle)
                rows.append((label, policy.name, spread(idle), spread(stale), spread(raced)))
    print_table(("trainer", "policy", "trainer idle %", "stale %", "raced %"), rows)
    print(f"plot: {bar_plot('rollouts-idle', 'trainer idle, % of the run', plot).name}")


if __name__ == "__main__":
    main()
