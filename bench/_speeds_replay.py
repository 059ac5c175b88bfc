"""
Replays the steps of three trainers on engines of two speeds with noise, in simulated time.

An engine makes events for each of its runs, more slowly the fuller it is, and two and a half times
more slowly during noise. A trainer submits a step every four seconds, but at most one before the
last one has ended; a step ends when nine tenths of its groups are complete.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ibisspring_decisions.engine_speed import LearnedSpeeds, StreamProgress
from ibisspring_decisions.engine_start import FULL_SLOWDOWN
from ibisspring_decisions.stragglers import Pace

if TYPE_CHECKING:
    from collections.abc import Callable

TICK_S = 0.02
REPORT_EVERY_S = 0.4
SLOTS = 8
FAST_EVENT_S = 0.028
SLOW_EVENT_S = 0.062
ENGINES = 22
NOISE_S = 0.6
NOISE_SHARE = 0.15
NOISE_FACTOR = 2.5
DEGRADED_FACTOR = 2.2
STEP_EVERY_S = 4.0
STEP_DUE_S = 7.5
TRAINING_S = 0.5
COMPLETE_SHARE = 0.9
GROUP_SIZE = 16
EVENTS_SIGMA = 0.7
LONG_SHARE = 1 / 12
LONG_FACTOR = 5
MAX_EVENTS = 130
ESTIMATE_SIGMA = 0.4
# Seconds from a placement to the first event: the request, its prompt and the new connection.
START_S = 0.05


@dataclass
class Text:
    """One item; `events_made` counts the events of all its runs."""

    key: tuple[str, str]
    group: tuple[str, str]
    events: int
    expected_events: float
    due_s: float
    submitted_s: float
    carried: bool = False
    events_made: float = 0.0
    engine: str = ""
    started_s: float = 0.0
    runs: int = 0
    moved_s: float = float("-inf")
    predicted_s: float = 0.0
    held_s: float | None = None
    reported_events: int = 0
    done_s: float | None = None


@dataclass
class ReplayedEngine:
    """An engine; its true speed is `event_s` while it is half full and without noise."""

    name: str
    event_s: float
    runs: list[Text] = field(default_factory=list)
    noise_until_s: float = 0.0
    degraded_until_s: float = 0.0

    def pace_s(self, now: float) -> float:
        """Return the present seconds per event of each run."""
        fullness = (1.0 + FULL_SLOWDOWN * len(self.runs) / SLOTS) / (1.0 + FULL_SLOWDOWN / 2)
        factor = NOISE_FACTOR if now < self.noise_until_s else 1.0
        if now < self.degraded_until_s:
            factor = max(factor, DEGRADED_FACTOR)
        return self.event_s * fullness * factor


@dataclass
class Trainer:
    """A trainer; `steps` are its open steps, the oldest first."""

    name: str
    groups: int
    median_events: int
    steps: list[list[Text]] = field(default_factory=list)
    submitted: int = 0
    ready_s: float = 0.0
    carried: list[Text] = field(default_factory=list)


@dataclass(frozen=True)
class Figures:
    """
    Figures of one replay.

    :param group_p99_s: 99th percentile of the seconds from a step's submission to a group's end.
    :param step_p99_s: the same of the steps' ends.
    :param late_steps: share of the submitted steps that ended after their due time.
    :param steps: share of the planned steps that were submitted.
    :param rerun: share of the items that ran more than once.
    :param moves_in_a_second: most moves in any second.
    :param error_s: median error of the predicted ends.
    """

    group_p99_s: float
    step_p99_s: float
    late_steps: float
    steps: float
    rerun: float
    moves_in_a_second: int
    error_s: float


class Replay:
    """
    One replay.

    :param place: called with the replay and the time; starts texts by `start`.
    :param move: the same; ends runs by `end_run`.
    """

    def __init__(
        self,
        place: Callable[[Replay, float], None],
        move: Callable[[Replay, float], None] | None = None,
        seed: int = 1,
        load: float = 1.0,
        day_s: float = 48.0,
        degraded: bool = False,
    ) -> None:
        self._source = random.Random(seed)
        self._place, self._move = place, move
        self._day_s = day_s
        self._degraded = degraded
        self.speeds = LearnedSpeeds()
        self.paces = {f"e{n}": Pace() for n in range(ENGINES)}
        fast = ENGINES // 4 + 1
        self.engines = {
            f"e{n}": ReplayedEngine(f"e{n}", FAST_EVENT_S if n < fast else SLOW_EVENT_S)
            for n in range(ENGINES)
        }
        self._trainers = [
            Trainer("summary", round(5 * load), 11),
            Trainer("fast", round(6 * load), 18),
            Trainer("answer", round(6 * load), 18),
        ]
        self._group_s: list[float] = []
        self._step_s: list[float] = []
        self._texts = 0
        self._rerun = 0
        self._moves_by_second: dict[int, int] = {}
        self._errors: list[float] = []

    def run(self) -> Figures:
        """Run the replay and return its figures."""
        for name in self.engines:
            self.speeds.register(name, 1, SLOTS, 0.0)
        for tick in range(int(self._day_s / TICK_S)):
            now = tick * TICK_S
            self._submit(now)
            self._make_events(now)
            if tick % round(REPORT_EVERY_S / TICK_S) == 0:
                self._report(now)
            self._place(self, now)
            if self._move is not None and tick % 5 == 0:
                self._move(self, now)
            self._end_steps(now)
        for trainer in self._trainers:
            for texts in trainer.steps:
                self._step_s.append(self._day_s - texts[0].submitted_s)
        planned = int(self._day_s / STEP_EVERY_S) * len(self._trainers)
        group_s, step_s = sorted(self._group_s), sorted(self._step_s)
        return Figures(
            group_s[int(0.99 * len(group_s))],
            step_s[int(0.99 * len(step_s))],
            sum(one > STEP_DUE_S for one in step_s) / len(step_s),
            sum(trainer.submitted for trainer in self._trainers) / planned,
            self._rerun / max(1, self._texts),
            max(self._moves_by_second.values(), default=0),
            sorted(abs(one) for one in self._errors)[len(self._errors) // 2],
        )

    def any_free(self) -> bool:
        """Whether any engine has a free slot."""
        return any(len(engine.runs) < SLOTS for engine in self.engines.values())

    def waiting(self) -> list[Text]:
        """Return the texts that wait, by due time, carried groups and estimate."""
        texts = [
            text
            for trainer in self._trainers
            for step in trainer.steps
            for text in step
            if text.done_s is None and not text.engine
        ]
        return sorted(texts, key=lambda one: (one.due_s, not one.carried, -one.expected_events))

    def start(self, text: Text, engine: str, now: float, predicted_s: float = 0.0) -> None:
        """Start a run of a text."""
        text.engine, text.started_s, text.predicted_s = engine, now, now + predicted_s
        text.runs += 1
        text.reported_events = 0
        self._rerun += text.runs == 2
        self.engines[engine].runs.append(text)
        assert len(self.engines[engine].runs) <= SLOTS

    def end_run(self, text: Text, now: float, moved: bool = True) -> None:
        """End a run of a text before its end; its whole events are kept."""
        self.engines[text.engine].runs.remove(text)
        text.engine = ""
        text.events_made = float(int(text.events_made))
        if moved:
            text.moved_s = now
            self._moves_by_second[int(now)] = self._moves_by_second.get(int(now), 0) + 1

    def _submit(self, now: float) -> None:
        for trainer in self._trainers:
            if len(trainer.steps) >= 2 or now < max(
                trainer.submitted * STEP_EVERY_S, trainer.ready_s
            ):
                continue
            job = f"{trainer.name}-{trainer.submitted}"
            texts = []
            for text in trainer.carried:
                text.carried, text.submitted_s, text.due_s = True, now, now + STEP_DUE_S
                texts.append(text)
            carried_groups = {text.group for text in texts}
            for group in range(trainer.groups - len(carried_groups)):
                for number in range(GROUP_SIZE):
                    texts.append(self._draw(trainer, (job, f"g{group}"), number, now))
            trainer.carried = []
            trainer.steps.append(texts)
            trainer.submitted += 1

    def _draw(self, trainer: Trainer, group: tuple[str, str], number: int, now: float) -> Text:
        factor = LONG_FACTOR if self._source.random() < LONG_SHARE else 1
        drawn = self._source.lognormvariate(0.0, EVENTS_SIGMA) * trainer.median_events * factor
        events = max(2, min(int(drawn), MAX_EVENTS))
        expected = events * self._source.lognormvariate(0.0, ESTIMATE_SIGMA)
        self._texts += 1
        key = (group[0], f"{group[1]}-{number}")
        return Text(key, group, events, expected, now + STEP_DUE_S, now)

    def _make_events(self, now: float) -> None:
        for engine in self.engines.values():
            noise_per_tick = NOISE_SHARE / (1 - NOISE_SHARE) / NOISE_S * TICK_S
            if now >= engine.noise_until_s and self._source.random() < noise_per_tick:
                engine.noise_until_s = now + NOISE_S
            if self._degraded and self._source.random() < TICK_S / 60.0:
                engine.degraded_until_s = now + 8.0
            made = TICK_S / engine.pace_s(now)
            for text in tuple(engine.runs):
                if now < text.started_s + START_S:
                    continue
                text.events_made += made
                if text.events_made >= text.events:
                    text.done_s = now
                    self._errors.append(now - text.predicted_s)
                    engine.runs.remove(text)

    def _report(self, now: float) -> None:
        for engine in self.engines.values():
            events = streams = 0
            for text in engine.runs:
                whole = int(text.events_made)
                if text.reported_events and now - text.started_s > REPORT_EVERY_S + START_S:
                    events += whole - text.reported_events
                    streams += 1
                text.reported_events = whole
            if streams:
                progress = StreamProgress(streams * REPORT_EVERY_S, events, REPORT_EVERY_S)
                self.speeds.observe(engine.name, len(engine.runs), progress, now)
                self.paces[engine.name].add_measurement(progress.stream_s / max(1, events))
            self.speeds.register(engine.name, 1, SLOTS, now)

    def _end_steps(self, now: float) -> None:
        for trainer in self._trainers:
            for texts in tuple(trainer.steps):
                self._end_step(trainer, texts, now)

    def _end_step(self, trainer: Trainer, texts: list[Text], now: float) -> None:
        open_groups = {text.group for text in texts if text.done_s is None}
        groups = {text.group for text in texts}
        if len(groups) - len(open_groups) < COMPLETE_SHARE * trainer.groups:
            return
        for group in groups - open_groups:
            end_s = max(text.done_s or 0.0 for text in texts if text.group == group)
            self._group_s.append(end_s - texts[0].submitted_s)
        for text in texts:
            if text.group in open_groups:
                trainer.carried.append(text)
                if text.engine:
                    self.end_run(text, now, moved=False)
                text.runs = 0
        self._step_s.append(now - texts[0].submitted_s)
        trainer.steps.remove(texts)
        trainer.ready_s = now + TRAINING_S


__all__ = ["Figures", "Replay", "ReplayedEngine", "Text"]
