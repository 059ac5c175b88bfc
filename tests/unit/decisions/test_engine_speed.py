from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ibisspring_decisions.engine_speed import (
    KEPT_CHANGE,
    EngineState,
    KnownSpeed,
    LearnedSpeeds,
    StreamProgress,
    is_worth_keeping,
)
from ibisspring_decisions.engine_start import (
    DEGRADED_AFTER_S,
    FULL_SLOWDOWN,
    RELEARN_AFTER_S,
    STATE_KEPT_S,
)

SLOTS = 8
REPORT_S = 0.4
NOISE_S = 0.6
NOISE_SHARE = 0.15
NOISE_FACTOR = 2.5
STEP_S = 0.1


class MeasuredEngine:
    """An engine whose streams are reported every 0.4 s, as runners report them."""

    def __init__(self, speeds: LearnedSpeeds, name: str, event_s: float, **fields) -> None:
        self.speeds = speeds
        self.name = name
        self.event_s = event_s
        self.running = fields.get("running", SLOTS // 2)
        self.noise_share = fields.get("noise_share", 0.0)
        self.incarnation = 1
        self.now = 0.0
        self.states: list[EngineState] = []
        self._source = random.Random(fields.get("seed", 1))
        self._noise_until = 0.0
        self._events = 0.0
        self._reported = 0
        self.restart(1, event_s)

    def restart(self, incarnation: int, event_s: float) -> None:
        self.incarnation, self.event_s = incarnation, event_s
        self.speeds.register(self.name, incarnation, SLOTS, self.now)

    def run(self, seconds: float, factor: float = 1.0) -> None:
        """Run for some seconds, in which every event takes `factor` times as long."""
        end = self.now + seconds
        steps = 0
        fullness = 1.0 + FULL_SLOWDOWN * self.running / SLOTS
        while self.now < end - 1e-9:
            self.now += STEP_S
            noise_per_step = self.noise_share / (1 - self.noise_share) / NOISE_S * STEP_S
            if self.now > self._noise_until and self._source.random() < noise_per_step:
                self._noise_until = self.now + NOISE_S
            slow = NOISE_FACTOR if self.now <= self._noise_until else factor
            pace = self.event_s * fullness / (1.0 + FULL_SLOWDOWN / 2) * slow
            self._events += self.running * STEP_S / pace
            steps += 1
            if steps % round(REPORT_S / STEP_S) == 0:
                self._report()

    def _report(self) -> None:
        events = int(self._events) - self._reported
        self._reported += events
        progress = StreamProgress(self.running * REPORT_S, events, REPORT_S)
        self.speeds.observe(self.name, self.running, progress, self.now)
        self.states.append(self.state())

    def learned_s(self) -> float:
        return self.speeds.event_s(self.name, SLOTS // 2)

    def state(self) -> EngineState:
        return self.speeds.state(self.name)


@settings(max_examples=60, deadline=None)
@given(
    event_s=st.floats(0.01, 0.1),
    running=st.integers(1, SLOTS),
    seed=st.integers(0, 10_000),
)
def test_noise_hardly_changes_the_usual_speed(event_s: float, running: int, seed: int) -> None:
    # Every engine is two and a half times slower for 0.6 s now and then, 15% of the time. By a mean
    # of half-second measurements, dozens of runs a second left healthy engines.
    engine = MeasuredEngine(
        LearnedSpeeds(), "a", event_s, running=running, seed=seed, noise_share=NOISE_SHARE
    )
    engine.run(30.0)

    assert engine.learned_s() == pytest.approx(event_s, rel=0.15)


def test_engines_that_are_slow_by_nature_are_normal() -> None:
    speeds = LearnedSpeeds()
    engines = [
        MeasuredEngine(speeds, f"e{n}", 0.028 if n % 4 == 0 else 0.062, running=1 + n % SLOTS)
        for n in range(22)
    ]
    for engine in engines:
        engine.run(10.0)

    for engine in engines:
        assert set(engine.states) == {EngineState.NORMAL}
        assert engine.learned_s() == pytest.approx(engine.event_s, rel=0.1)


def test_noise_of_half_a_second_does_not_count_as_degraded() -> None:
    engine = MeasuredEngine(LearnedSpeeds(), "a", 0.062)
    for _ in range(8):
        engine.run(4.0)
        engine.run(NOISE_S, factor=NOISE_FACTOR)

    assert EngineState.NOISY in engine.states
    assert EngineState.DEGRADED not in engine.states


def test_an_engine_that_stays_slow_is_degraded_until_it_is_as_usual_for_a_second() -> None:
    engine = MeasuredEngine(LearnedSpeeds(), "a", 0.062)
    engine.run(8.0)
    engine.run(DEGRADED_AFTER_S + 2 * REPORT_S, factor=NOISE_FACTOR)
    assert engine.state() is EngineState.DEGRADED
    assert engine.learned_s() == pytest.approx(0.062, rel=0.1)
    assert engine.speeds.expected_event_s("a", 4) == pytest.approx(0.062 * NOISE_FACTOR, rel=0.2)

    engine.run(REPORT_S)
    assert engine.state() is EngineState.DEGRADED
    engine.run(2.0)
    assert engine.state() is EngineState.NORMAL


def test_states_do_not_alternate_at_a_pace_between_usual_and_slow() -> None:
    engine = MeasuredEngine(LearnedSpeeds(), "a", 0.062, seed=3)
    engine.run(8.0)
    source = random.Random(5)
    for _ in range(40):
        engine.run(REPORT_S, factor=source.uniform(1.35, 1.55))

    changes = sum(a is not b for a, b in zip(engine.states, engine.states[1:], strict=False))
    assert changes <= 2


@settings(max_examples=40, deadline=None)
@given(before=st.floats(0.015, 0.1), ratio=st.floats(0.25, 4.0), seed=st.integers(0, 1000))
def test_a_restart_under_the_same_id_is_learned_anew(
    before: float, ratio: float, seed: int
) -> None:
    # A replaced VM keeps the engine's id. By the speed of its predecessor, a faster one would
    # stand idle, and a slower one would count as degraded.
    engine = MeasuredEngine(LearnedSpeeds(), "a", before, seed=seed, noise_share=NOISE_SHARE)
    engine.run(15.0)
    engine.restart(2, before * ratio)
    assert engine.speeds.known_speeds() == ()
    engine.run(12.0)

    assert engine.learned_s() == pytest.approx(before * ratio, rel=0.2)
    assert engine.speeds.known_speeds()[0].incarnation == 2


@settings(max_examples=40, deadline=None)
@given(final=st.floats(0.4, 3.0), seed=st.integers(0, 1000))
def test_slow_drift_is_followed(final: float, seed: int) -> None:
    engine = MeasuredEngine(LearnedSpeeds(), "a", 0.05, seed=seed, noise_share=NOISE_SHARE)
    engine.run(10.0)
    for step in range(60):
        engine.event_s = 0.05 * (1.0 + (final - 1.0) * (step + 1) / 60)
        engine.run(2.0)
    engine.run(12.0)

    assert engine.learned_s() == pytest.approx(0.05 * final, rel=0.15)


def test_a_lasting_change_becomes_the_usual_speed_in_the_end() -> None:
    engine = MeasuredEngine(LearnedSpeeds(), "a", 0.03)
    engine.run(8.0)
    engine.run(RELEARN_AFTER_S - 5.0, factor=2.5)
    assert engine.state() is EngineState.DEGRADED
    engine.run(12.0, factor=2.5)

    assert engine.state() is EngineState.NORMAL
    assert engine.learned_s() == pytest.approx(0.075, rel=0.1)


def test_a_degraded_engine_without_runs_is_tried_again() -> None:
    # Placement avoids a degraded engine; without runs it would never be measured again.
    engine = MeasuredEngine(LearnedSpeeds(), "a", 0.03)
    engine.run(8.0)
    engine.run(3.0, factor=3.0)
    assert engine.state() is EngineState.DEGRADED

    assert engine.speeds.register("a", 1, SLOTS, engine.now + STATE_KEPT_S - 2 * REPORT_S) is None
    change = engine.speeds.register("a", 1, SLOTS, engine.now + STATE_KEPT_S + 0.1)
    assert change is not None
    assert change.state is EngineState.NORMAL


def test_kept_speeds_are_used_at_once_and_only_for_the_same_start() -> None:
    kept = (KnownSpeed("a", 1, 0.028), KnownSpeed("b", 1, 0.062), KnownSpeed("c", 1, 0.062))
    speeds = LearnedSpeeds(kept)
    speeds.register("a", 1, SLOTS, 0.0)
    speeds.register("b", 2, SLOTS, 0.0)

    assert speeds.event_s("a", 4) == pytest.approx(0.028)
    assert speeds.event_s("b", 4) == pytest.approx(0.028)  # the lower median of a and c
    assert {speed.engine for speed in speeds.known_speeds()} == {"a", "c"}
    speeds.forget_unclaimed()
    assert {speed.engine for speed in speeds.known_speeds()} == {"a"}


def test_an_engine_that_is_not_known_has_the_median_speed() -> None:
    speeds = LearnedSpeeds()
    for name, event_s in (("a", 0.02), ("b", 0.04), ("c", 0.06)):
        MeasuredEngine(speeds, name, event_s).run(8.0)

    assert speeds.event_s("unknown", 4) == pytest.approx(0.04, rel=0.1)
    assert speeds.state("unknown") is EngineState.NORMAL
    assert speeds.median_event_s(("c", "unknown")) == pytest.approx(0.06, rel=0.1)
    assert speeds.median_event_s(("unknown",)) == speeds.median_event_s()
    speeds.register("a", 1, SLOTS, 100.0)
    speeds.forget_absent(before=100.0)
    assert speeds.median_event_s() == pytest.approx(0.02, rel=0.1)


def test_a_full_engine_takes_a_quarter_longer_than_an_empty_one() -> None:
    engine = MeasuredEngine(LearnedSpeeds(), "a", 0.04, running=SLOTS)
    engine.run(8.0)

    full, empty = engine.speeds.event_s("a", SLOTS), engine.speeds.event_s("a", 0)
    assert full / empty == pytest.approx(1.0 + FULL_SLOWDOWN)
    assert engine.learned_s() == pytest.approx(0.04, rel=0.1)


def test_only_a_change_of_more_than_a_tenth_is_worth_a_commit() -> None:
    kept = (KnownSpeed("a", 1, 0.04),)
    slightly = (KnownSpeed("a", 1, 0.04 * (1 + KEPT_CHANGE * 0.9)),)

    assert not is_worth_keeping(kept, slightly)
    assert not is_worth_keeping(kept, ())
    assert is_worth_keeping(kept, (KnownSpeed("a", 1, 0.04 * (1 + KEPT_CHANGE * 1.1)),))
    assert is_worth_keeping(kept, (KnownSpeed("a", 2, 0.04),))
    assert is_worth_keeping((), kept)
