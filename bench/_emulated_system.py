"""The engines, trainers and troubles of an emulated day."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ibisspring_decisions.dispatch import memory_needed
from ibisspring_decisions.stragglers import Pace

if TYPE_CHECKING:
    import random

SLOTS = 12
MEMORY_TOKENS = 40_482
EVENT_S = 0.036
FULL_COSTS = 0.25
"""A full engine takes a quarter longer for an event than an empty one."""

PROMPT_TOKENS = 271
MOST_TOKENS = 9_400
EVENTS_MEDIAN = 14
EVENTS_SIGMA = 0.7
LONG_SHARE = 1 / 12
LONG_TIMES = 5
MOST_EVENTS = 105
TOKENS_PER_EVENT = 60
ESTIMATE_SIGMA = 0.4
SLOW_TIMES = 3.0


@dataclass(frozen=True)
class Fleet:
    """
    Engines and what trainers ask of them.

    :param groups_by_model: groups of a step by model.
    :param group_size: items of a group.
    :param reward_s: seconds from a whole text to its score; 0 where texts are not scored.
    :param slots: texts that an engine works on at once.
    :param memory_tokens: what an engine holds.
    """

    name: str
    engines: int
    groups_by_model: dict[str, int]
    group_size: int
    reward_s: float = 0.0
    slots: int = SLOTS
    memory_tokens: int = MEMORY_TOKENS

    @property
    def fifth(self) -> int:
        """A fifth of the engines: as many turn slow at once, or stand in one data centre."""
        return max(1, self.engines // 5)


@dataclass(frozen=True)
class Trouble:
    """
    What happens in the day.

    :param slow_at_s: from then on for ten seconds a fifth of the engines take three times as long.
    :param power_at_s: all runs are cut; nothing is dispatched for `DARK_S`.
    :param reclaim_at_s: two engines, or a fifth of more than ten, are gone for `BOOT_S`.
    """

    name: str
    slow_at_s: float | None = None
    power_at_s: float | None = None
    reclaim_at_s: float | None = None


@dataclass
class Text:
    """
    One item.

    :param made: events that exist.
    :param kept: of these, events that outlive the loss of all processes.
    """

    model: str
    step: int
    group: int
    number: int
    events: int
    expected_tokens: int
    submitted_s: float
    carried: bool
    made: float = 0.0
    kept: float = 0.0
    engine: str = ""
    done_s: float | None = None

    @property
    def key(self) -> tuple[str, str]:
        return (f"{self.model}:{self.step}", f"{self.group}:{self.number}")

    def tokens(self, by_estimate: bool) -> int:
        """Memory that is reckoned for it."""
        expected = self.expected_tokens if by_estimate else 0
        most = PROMPT_TOKENS + MOST_TOKENS
        return memory_needed(most, PROMPT_TOKENS, expected) if by_estimate else most


@dataclass
class Engine:
    """An engine; `loading` names the model that it loads until `loads_until_s`."""

    name: str
    version_by_model: dict[str, int]
    slots: int = SLOTS
    runs: list[Text] = field(default_factory=list)
    loading: str = ""
    load_version: int = 0
    loads_until_s: float = 0.0
    gone_until_s: float = 0.0
    pace: Pace = field(default_factory=Pace)

    def event_s(self, slow: bool) -> float:
        """Seconds for an event of each run now."""
        fullness = len(self.runs) / self.slots
        return EVENT_S * (1.0 + FULL_COSTS * fullness) * (SLOW_TIMES if slow else 1.0)


@dataclass
class Trainer:
    """One trainer's steps; `texts` are those of the step that is open."""

    model: str
    groups: int
    group_size: int
    step: int = 0
    version: int = 0
    next_at_s: float = 0.0
    texts: list[Text] = field(default_factory=list)
    open: bool = False


def draw_text(source: random.Random, trainer: Trainer, group: int, number: int, now: float) -> Text:
    """
    Draw an item: one in twelve is five times as long, and its caller's estimate is off.

    :param source: random numbers.
    :return: an item that is submitted now.
    """
    times = LONG_TIMES if source.random() < LONG_SHARE else 1
    drawn = source.lognormvariate(0.0, EVENTS_SIGMA) * EVENTS_MEDIAN * times
    events = max(2, min(int(drawn), MOST_EVENTS))
    error = source.lognormvariate(0.0, ESTIMATE_SIGMA)
    expected = int(events * TOKENS_PER_EVENT * error)
    return Text(trainer.model, trainer.step, group, number, events, expected, now, False)


__all__ = [
    "MEMORY_TOKENS",
    "SLOTS",
    "TOKENS_PER_EVENT",
    "Engine",
    "Fleet",
    "Text",
    "Trainer",
    "Trouble",
    "draw_text",
]
