"""
Emulates engines and trainers in simulated time; the product's decision modules schedule the work.

Time advances in steps of `TICK_S`. An engine makes events for each of its runs, more slowly the
fuller it is; it holds prompts and texts in bounded memory, and does not serve a model while it
loads that model. A trainer submits the items of a step, ends the step when nine tenths of its
groups are complete, trains, publishes the next version, and submits the next step at its planned
time or as soon after as it can. Unfinished groups are submitted again in the next step.

The constants for the median and the spread of text lengths, for the seconds of an event (alone and
beside other runs) and for the seconds of a load are those of the engines on which the product is
measured.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from bench._emulated_system import (
    TOKENS_PER_EVENT,
    Disturbance,
    Engine,
    Fleet,
    Text,
    Trainer,
    draw_text,
)
from ibisspring_decisions.dispatch import EngineCapacity, WaitingItem, place_items, rank_of
from ibisspring_decisions.stragglers import (
    MIN_REMAINING_EVENTS,
    MovableRun,
    choose_moves,
    slow_engines,
)
from ibisspring_decisions.version_hosts import EngineVersions, max_concurrent_loads, next_loads

TICK_S = 0.02
DISPATCH_EVERY_S = 0.1
MOVE_EVERY_S = 0.5
LOAD_S = 0.9
ALLOWED_LAG = 1
"""Versions by which an engine may be behind and still run a job's items."""

STEP_EVERY_S = 4.0
TRAINING_S = 0.5
COMPLETE_SHARE = 0.9
STEP_DUE_S = 7.5
SAVE_EVERY_S = 1.0
DAY_S = 60.0
SLOW_FOR_S = 10.0
OUTAGE_S = 2.4
BOOT_S = 8.0
MIN_RECLAIMED = 2


@dataclass(frozen=True)
class Policy:
    """
    Which parts of the dispatcher are switched on.

    :param staggered_loads: half of a model's hosts load every other version; otherwise every host
        loads every version.
    :param texts_saved: unfinished texts are saved once a second.
    :param moves: runs are moved away from slow engines.
    :param long_first: items with the largest estimate start first.
    :param memory_by_estimate: memory is reserved by the estimate; otherwise by the maximum length.
    """

    name: str
    staggered_loads: bool = True
    texts_saved: bool = True
    moves: bool = True
    long_first: bool = True
    memory_by_estimate: bool = True


@dataclass(frozen=True)
class Result:
    """
    Figures of one day.

    :param in_time: share of the groups of all planned steps whose step ended by its due time.
    :param submitted: share of the planned steps that were submitted.
    :param step_s: mean seconds from a step's submission to its end.
    :param loads: number of weight loads.
    """

    in_time: float
    submitted: float
    step_s: float
    loads: int


class Emulator:
    """One day of one fleet under one policy."""

    def __init__(self, fleet: Fleet, disturbance: Disturbance, policy: Policy, seed: int) -> None:
        self._source = random.Random(f"{fleet.name} {disturbance.name} {seed}")
        self._fleet = fleet
        self._disturbance = disturbance
        self._policy = policy
        self._engines = [
            Engine(f"e{number}", dict.fromkeys(fleet.groups_by_model, 0), fleet.slots)
            for number in range(fleet.engines)
        ]
        self._trainers = [
            Trainer(model, groups, fleet.group_size)
            for model, groups in fleet.groups_by_model.items()
        ]
        self._reward_s = fleet.reward_s
        self._loads = 0
        self._groups_in_time = 0
        self._step_s: list[float] = []
        self._submitted = 0
        self._outage_until_s = 0.0

    def run(self) -> Result:
        """Run the day and return its figures."""
        ticks = int(DAY_S / TICK_S)
        for tick in range(ticks):
            now = tick * TICK_S
            self._start_disturbances(now)
            self._submit_steps(now)
            self._make_events(now)
            if now >= self._outage_until_s:
                if tick % int(DISPATCH_EVERY_S / TICK_S) == 0:
                    self._start_loads(now)
                    self._dispatch(now)
                if self._policy.moves and tick % int(MOVE_EVERY_S / TICK_S) == 0:
                    self._move(now)
                if tick % int(SAVE_EVERY_S / TICK_S) == 0:
                    self._save_texts()
            self._end_steps(now)
        planned = int(DAY_S / STEP_EVERY_S)
        groups = sum(trainer.groups for trainer in self._trainers) * planned
        return Result(
            self._groups_in_time / groups,
            self._submitted / (planned * len(self._trainers)),
            sum(self._step_s) / max(1, len(self._step_s)),
            self._loads,
        )

    def _start_disturbances(self, now: float) -> None:
        disturbance = self._disturbance
        if _is_now(disturbance.power_at_s, now):
            self._outage_until_s = now + OUTAGE_S
            for engine in self._engines:
                for text in tuple(engine.runs):
                    self._end_run(engine, text)
        if _is_now(disturbance.reclaim_at_s, now):
            for engine in self._engines[: max(MIN_RECLAIMED, self._fleet.fifth)]:
                engine.unavailable_until_s = now + BOOT_S
                engine.loading = ""
                for text in tuple(engine.runs):
                    self._end_run(engine, text, entry_alive=True)

    def _end_run(self, engine: Engine, text: Text, entry_alive: bool = False) -> None:
        """End a run. A live entry returns all its events; otherwise only the saved ones remain."""
        if not entry_alive:
            text.events_made = text.events_saved if self._policy.texts_saved else 0.0
        text.events_made = float(int(text.events_made))
        text.engine = ""
        engine.runs.remove(text)

    def _submit_steps(self, now: float) -> None:
        for trainer in self._trainers:
            if trainer.open or now < trainer.next_at_s:
                continue
            unfinished = [text for text in trainer.texts if text.done_s is None]
            carried = sorted({text.group for text in unfinished})[: trainer.groups]
            trainer.step += 1
            trainer.texts = [text for text in unfinished if text.group in carried]
            for text in trainer.texts:
                text.carried = True
                text.submitted_s = now
                text.step = trainer.step
            first = trainer.step * 1000
            for group in range(first, first + trainer.groups - len(carried)):
                trainer.texts += [
                    draw_text(self._source, trainer, group, number, now)
                    for number in range(trainer.group_size)
                ]
            trainer.open = True
            self._submitted += 1

    def _make_events(self, now: float) -> None:
        slow_at = self._disturbance.slow_at_s
        for index, engine in enumerate(self._engines):
            if engine.loading and now >= engine.loads_until_s:
                engine.version_by_model[engine.loading] = engine.load_version
                engine.loading = ""
            slow = (
                index < self._fleet.fifth
                and slow_at is not None
                and slow_at <= now < slow_at + SLOW_FOR_S
            )
            events_made = TICK_S / engine.event_s(slow)
            for text in tuple(engine.runs):
                if text.model == engine.loading:
                    continue
                text.events_made += events_made
                if text.events_made >= text.events:
                    # The engine starts its next text while this one is being scored.
                    text.done_s = now + self._reward_s
                    engine.runs.remove(text)
            if engine.runs:
                engine.pace.add_measurement(engine.event_s(slow))

    def _save_texts(self) -> None:
        for engine in self._engines:
            for text in engine.runs:
                text.events_saved = float(int(text.events_made))

    def _available_engines(self, now: float) -> list[Engine]:
        return [engine for engine in self._engines if now >= engine.unavailable_until_s]

    def _start_loads(self, now: float) -> None:
        available = {engine.name: engine for engine in self._available_engines(now)}
        hosts = [
            EngineVersions(one.name, one.version_by_model, one.loading)
            for one in available.values()
        ]
        published = {trainer.model: trainer.version for trainer in self._trainers}
        lags = dict.fromkeys(published, ALLOWED_LAG if self._policy.staggered_loads else 0)
        for load in next_loads(hosts, published, max_concurrent_loads(len(hosts)), lags):
            engine = available[load.engine]
            engine.loading, engine.load_version = load.model, load.version
            engine.loads_until_s = now + LOAD_S
            self._loads += 1

    def _usable_engines(self, text: Text, now: float) -> frozenset[str]:
        trainer = next(one for one in self._trainers if one.model == text.model)
        oldest = trainer.version - ALLOWED_LAG
        return frozenset(
            engine.name
            for engine in self._available_engines(now)
            if engine.loading != text.model and engine.version_by_model[text.model] >= oldest
        )

    def _dispatch(self, now: float) -> None:
        policy = self._policy
        text_by_key = {}
        items = []
        for trainer in self._trainers:
            usable: frozenset[str] | None = None
            for text in trainer.texts:
                if text.done_s is not None or text.engine:
                    continue
                usable = usable if usable is not None else self._usable_engines(text, now)
                text_by_key[text.key] = text
                items.append(
                    WaitingItem(
                        key=text.key,
                        group=(text.key[0], str(text.group)),
                        due_s=text.submitted_s + STEP_DUE_S,
                        priority=0,
                        carried=text.carried,
                        expected_tokens=text.expected_tokens if policy.long_first else 0,
                        memory_tokens=text.tokens(policy.memory_by_estimate),
                        engines=usable,
                    )
                )
        engine_by_name = {engine.name: engine for engine in self._available_engines(now)}
        for placement in place_items(sorted(items, key=rank_of), self._free_capacity(now)):
            text = text_by_key[placement.key]
            text.engine = placement.engine
            engine_by_name[placement.engine].runs.append(text)

    def _free_capacity(self, now: float) -> list[EngineCapacity]:
        available = self._available_engines(now)
        fastest = min((one.pace.seconds for one in available if one.pace.seconds), default=1.0)
        return [
            EngineCapacity(
                engine=one.name,
                free_slots=one.slots - len(one.runs),
                free_memory_tokens=self._fleet.memory_tokens
                - sum(run.tokens(self._policy.memory_by_estimate) for run in one.runs),
                running=len(one.runs),
                slowness=one.pace.seconds / fastest if one.pace.seconds else 1.0,
                groups_with_prompt={(run.key[0], str(run.group)) for run in one.runs},
            )
            for one in available
        ]

    def _move(self, now: float) -> None:
        available = {engine.name: engine for engine in self._available_engines(now)}
        slow = slow_engines({name: engine.pace for name, engine in available.items()})
        if not slow:
            return
        free_capacity = self._free_capacity(now)
        free_by_engine = {
            capacity.engine: max(0, capacity.free_slots) for capacity in free_capacity
        }
        runs = [(text, available[name]) for name in sorted(slow) for text in available[name].runs]
        movable = [
            MovableRun(
                number,
                engine.name,
                max(
                    text.expected_tokens / TOKENS_PER_EVENT - text.events_made, MIN_REMAINING_EVENTS
                ),
                frozenset(available),
            )
            for number, (text, engine) in enumerate(runs)
        ]
        for number in choose_moves(movable, slow, free_by_engine, waiting_items=0):
            text, engine = runs[number]
            self._end_run(engine, text, entry_alive=True)

    def _end_steps(self, now: float) -> None:
        for trainer in self._trainers:
            if not trainer.open:
                continue
            unfinished_by_group: dict[int, int] = {}
            for text in trainer.texts:
                is_unfinished = text.done_s is None or text.done_s > now
                unfinished_by_group[text.group] = (
                    unfinished_by_group.get(text.group, 0) + is_unfinished
                )
            complete = sum(unfinished == 0 for unfinished in unfinished_by_group.values())
            if complete < COMPLETE_SHARE * trainer.groups:
                continue
            submitted_s = trainer.texts[0].submitted_s
            # If the step ends in time, its unfinished groups count as in time too: the trainer does
            # not wait for them, and its next step submits them again.
            if now - submitted_s <= STEP_DUE_S:
                self._groups_in_time += trainer.groups
            self._step_s.append(now - submitted_s)
            for engine in self._engines:
                for text in tuple(engine.runs):
                    if text.model == trainer.model:
                        self._end_run(engine, text, entry_alive=True)
            trainer.open = False
            trainer.version += 1
            trainer.next_at_s = max(trainer.step * STEP_EVERY_S, now + TRAINING_S)


def _is_now(at_s: float | None, now: float) -> bool:
    return at_s is not None and at_s <= now < at_s + TICK_S


__all__ = ["Emulator", "Policy", "Result"]
