"""
Engines and trainers in a model of their own, fed by the decision modules of the product.

Time goes in steps of `TICK_S`. An engine makes events of each of its runs at a pace that falls with
its fullness, holds prompts and texts in a bounded memory, and is out of service for a model that it
loads. A trainer submits a step's items, ends the step when nine tenths of its groups are whole,
trains, names the next version and asks for the next step at its time or as soon as it can; groups
left over come back in the next step.

The figures are those of the engines that the product was measured on: median and spread of a text,
seconds for an event alone and beside others, seconds of a load.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from bench._emulated_system import (
    TOKENS_PER_EVENT,
    Engine,
    Fleet,
    Text,
    Trainer,
    Trouble,
    draw_text,
)
from ibisspring_decisions.dispatch import EngineRoom, WaitingItem, order_of, place
from ibisspring_decisions.stragglers import LEAST_LEFT, MovableRun, choose_moves, slow_engines
from ibisspring_decisions.version_hosts import Host, loads_at_once, next_loads

TICK_S = 0.02
DISPATCH_S = 0.1
MOVES_S = 0.5
LOAD_S = 0.9
ALLOWED_LAG = 1
"""Versions that a job lets an engine be behind."""

STEP_EVERY_S = 4.0
TRAINING_S = 0.5
ENOUGH_GROUPS = 0.9
DUE_S = 7.5
PART_S = 1.0
DAY_S = 60.0
SLOW_FOR_S = 10.0
DARK_S = 2.4
BOOT_S = 8.0
RECLAIMED = 2


@dataclass(frozen=True)
class Policy:
    """
    What the dispatcher does.

    :param in_turn: half of a model's hosts load every other version.
    :param kept: texts half way are kept once a second.
    :param moves: runs leave slow engines.
    :param long_first: long items begin first, by their estimate.
    :param by_estimate: memory is reckoned by the estimate and not by the most.
    """

    name: str
    in_turn: bool = True
    kept: bool = True
    moves: bool = True
    long_first: bool = True
    by_estimate: bool = True


@dataclass(frozen=True)
class Result:
    """
    What callers received.

    :param in_time: share of the groups of all planned steps that were whole when they were due.
    :param asked: share of the planned steps that were asked.
    :param step_s: mean seconds from a step's submission to its end.
    :param loads: loads of weights.
    """

    in_time: float
    asked: float
    step_s: float
    loads: int


class Emulator:
    """One day of one fleet under one policy."""

    def __init__(self, fleet: Fleet, trouble: Trouble, policy: Policy, seed: int) -> None:
        self._source = random.Random(f"{fleet.name} {trouble.name} {seed}")
        self._fleet = fleet
        self._trouble = trouble
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
        self._whole_in_time = 0
        self._step_s: list[float] = []
        self._asked = 0
        self._dark_until_s = 0.0

    def run(self) -> Result:
        """Play the day."""
        ticks = int(DAY_S / TICK_S)
        for tick in range(ticks):
            now = tick * TICK_S
            self._begin_troubles(now)
            self._ask(now)
            self._make_events(now)
            if now >= self._dark_until_s:
                if tick % int(DISPATCH_S / TICK_S) == 0:
                    self._load(now)
                    self._dispatch(now)
                if self._policy.moves and tick % int(MOVES_S / TICK_S) == 0:
                    self._move(now)
                if tick % int(PART_S / TICK_S) == 0:
                    self._keep()
            self._end_steps(now)
        planned = int(DAY_S / STEP_EVERY_S)
        groups = sum(trainer.groups for trainer in self._trainers) * planned
        return Result(
            self._whole_in_time / groups,
            self._asked / (planned * len(self._trainers)),
            sum(self._step_s) / max(1, len(self._step_s)),
            self._loads,
        )

    def _begin_troubles(self, now: float) -> None:
        trouble = self._trouble
        if _is_now(trouble.power_at_s, now):
            self._dark_until_s = now + DARK_S
            for engine in self._engines:
                for text in tuple(engine.runs):
                    self._cut(engine, text)
        if _is_now(trouble.reclaim_at_s, now):
            for engine in self._engines[: max(RECLAIMED, self._fleet.fifth)]:
                engine.gone_until_s = now + BOOT_S
                engine.loading = ""
                for text in tuple(engine.runs):
                    self._cut(engine, text, keep=True)

    def _cut(self, engine: Engine, text: Text, keep: bool = False) -> None:
        """End a run; an entry that lives hands over what it made, a dead one does not."""
        if not keep:
            text.made = text.kept if self._policy.kept else 0.0
        text.made = float(int(text.made))
        text.engine = ""
        engine.runs.remove(text)

    def _ask(self, now: float) -> None:
        for trainer in self._trainers:
            if trainer.open or now < trainer.next_at_s:
                continue
            left = [text for text in trainer.texts if text.done_s is None]
            carried = sorted({text.group for text in left})[: trainer.groups]
            trainer.step += 1
            trainer.texts = [text for text in left if text.group in carried]
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
            self._asked += 1

    def _make_events(self, now: float) -> None:
        slow_at = self._trouble.slow_at_s
        for index, engine in enumerate(self._engines):
            if engine.loading and now >= engine.loads_until_s:
                engine.version_by_model[engine.loading] = engine.load_version
                engine.loading = ""
            slow = (
                index < self._fleet.fifth
                and slow_at is not None
                and slow_at <= now < slow_at + SLOW_FOR_S
            )
            made = TICK_S / engine.event_s(slow)
            for text in tuple(engine.runs):
                if text.model == engine.loading:
                    continue
                text.made += made
                if text.made >= text.events:
                    # Its engine takes the next text while it is being scored.
                    text.done_s = now + self._reward_s
                    engine.runs.remove(text)
            if engine.runs:
                engine.pace.measure(engine.event_s(slow))

    def _keep(self) -> None:
        for engine in self._engines:
            for text in engine.runs:
                text.kept = float(int(text.made))

    def _present(self, now: float) -> list[Engine]:
        return [engine for engine in self._engines if now >= engine.gone_until_s]

    def _load(self, now: float) -> None:
        present = {engine.name: engine for engine in self._present(now)}
        hosts = [Host(one.name, one.version_by_model, one.loading) for one in present.values()]
        named = {trainer.model: trainer.version for trainer in self._trainers}
        lags = dict.fromkeys(named, ALLOWED_LAG if self._policy.in_turn else 0)
        for load in next_loads(hosts, named, loads_at_once(len(hosts)), lags):
            engine = present[load.engine]
            engine.loading, engine.load_version = load.model, load.version
            engine.loads_until_s = now + LOAD_S
            self._loads += 1

    def _usable(self, text: Text, now: float) -> frozenset[str]:
        trainer = next(one for one in self._trainers if one.model == text.model)
        oldest = trainer.version - ALLOWED_LAG
        return frozenset(
            engine.name
            for engine in self._present(now)
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
                usable = usable if usable is not None else self._usable(text, now)
                text_by_key[text.key] = text
                items.append(
                    WaitingItem(
                        key=text.key,
                        group=(text.key[0], str(text.group)),
                        due_s=text.submitted_s + DUE_S,
                        priority=0,
                        carried=text.carried,
                        expected_tokens=text.expected_tokens if policy.long_first else 0,
                        tokens=text.tokens(policy.by_estimate),
                        engines=usable,
                    )
                )
        engine_by_name = {engine.name: engine for engine in self._present(now)}
        for placement in place(sorted(items, key=order_of), self._rooms(now)):
            text = text_by_key[placement.key]
            text.engine = placement.engine
            engine_by_name[placement.engine].runs.append(text)

    def _rooms(self, now: float) -> list[EngineRoom]:
        present = self._present(now)
        fastest = min((one.pace.seconds for one in present if one.pace.seconds), default=1.0)
        return [
            EngineRoom(
                engine=one.name,
                slots=one.slots - len(one.runs),
                tokens=self._fleet.memory_tokens
                - sum(run.tokens(self._policy.by_estimate) for run in one.runs),
                running=len(one.runs),
                slowness=one.pace.seconds / fastest if one.pace.seconds else 1.0,
                groups={(run.key[0], str(run.group)) for run in one.runs},
            )
            for one in present
        ]

    def _move(self, now: float) -> None:
        present = {engine.name: engine for engine in self._present(now)}
        slow = slow_engines({name: engine.pace for name, engine in present.items()})
        if not slow:
            return
        rooms = self._rooms(now)
        free_by_engine = {room.engine: max(0, room.slots) for room in rooms}
        runs = [(text, present[name]) for name in sorted(slow) for text in present[name].runs]
        movable = [
            MovableRun(
                number,
                engine.name,
                max(text.expected_tokens / TOKENS_PER_EVENT - text.made, LEAST_LEFT),
                frozenset(present),
            )
            for number, (text, engine) in enumerate(runs)
        ]
        for number in choose_moves(movable, slow, free_by_engine, waiting=0):
            text, engine = runs[number]
            self._cut(engine, text, keep=True)

    def _end_steps(self, now: float) -> None:
        for trainer in self._trainers:
            if not trainer.open:
                continue
            left_by_group: dict[int, int] = {}
            for text in trainer.texts:
                waits = text.done_s is None or text.done_s > now
                left_by_group[text.group] = left_by_group.get(text.group, 0) + waits
            whole = sum(left == 0 for left in left_by_group.values())
            if whole < ENOUGH_GROUPS * trainer.groups:
                continue
            began_s = trainer.texts[0].submitted_s
            # The trainer is served with what it waits for; the rest comes back.
            if now - began_s <= DUE_S:
                self._whole_in_time += trainer.groups
            self._step_s.append(now - began_s)
            for engine in self._engines:
                for text in tuple(engine.runs):
                    if text.model == trainer.model:
                        self._cut(engine, text, keep=True)
            trainer.open = False
            trainer.version += 1
            trainer.next_at_s = max(trainer.step * STEP_EVERY_S, now + TRAINING_S)


def _is_now(at_s: float | None, now: float) -> bool:
    return at_s is not None and at_s <= now < at_s + TICK_S


__all__ = ["Emulator", "Policy", "Result"]
