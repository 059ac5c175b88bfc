"""The engines, trainers and disturbances of an emulated day."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ibisspring_decisions.dispatch import expected_memory_tokens
from ibisspring_decisions.stragglers import Pace

if TYPE_CHECKING:
    import random

SLOTS = 12
MEMORY_TOKENS = 40_482
EVENT_S = 0.036
FULL_SLOWDOWN = 0.25
"""Extra time of an event: a full engine takes a quarter longer for it than an empty one."""

PROMPT_TOKENS = 271
MAX_OUTPUT_TOKENS = 9_400
EVENTS_MEDIAN = 14
EVENTS_SIGMA = 0.7
LONG_SHARE = 1 / 12
LONG_FACTOR = 5
MAX_EVENTS = 105
TOKENS_PER_EVENT = 60
ESTIMATE_SIGMA = 0.4
SLOW_FACTOR = 3.0


@dataclass(frozen=True)
class Fleet:
    """
    Engines and the sizes of the steps that trainers submit to them.

    :param groups_by_model: groups of a step by model.
    :param group_size: items of a group.
    :param reward_s: seconds from a complete text to its score; 0 where texts are not scored.
    :param slots: texts that an engine works on at once.
    :param memory_tokens: tokens that fit into an engine's memory.
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
        """A fifth of the engines: so many become slow at once, or are in one data centre."""
        return max(1, self.engines // 5)


@dataclass(frozen=True)
class Disturbance:
    """
    A fault during the day; each time is None where the fault does not occur.

    :param slow_at_s: from then on for ten seconds a fifth of the engines take three times as long.
    :param power_at_s: all runs end, and nothing is dispatched for `OUTAGE_S`.
    :param reclaim_at_s: two engines, or a fifth of more than ten, are unavailable for `BOOT_S`.
    """

    name: str
    slow_at_s: float | None = None
    power_at_s: float | None = None
    reclaim_at_s: float | None = None


@dataclass
class Text:
    """
    One item.

    :param events: events of the complete text.
    :param carried: whether it comes from a group that an earlier step left unfinished.
    :param events_made: events that engines have made.
    :param events_saved: of these, the events that survive the loss of all processes.
    :param engine: the engine that runs it; empty for none.
    """

    model: str
    step: int
    group: int
    number: int
    events: int
    expected_tokens: int
    submitted_s: float
    carried: bool
    events_made: float = 0.0
    events_saved: float = 0.0
    engine: str = ""
    done_s: float | None = None

    @property
    def key(self) -> tuple[str, str]:
        return (f"{self.model}:{self.step}", f"{self.group}:{self.number}")

    def tokens(self, by_estimate: bool) -> int:
        """Return the tokens of engine memory that are reserved for it."""
        expected = self.expected_tokens if by_estimate else 0
        max_tokens = PROMPT_TOKENS + MAX_OUTPUT_TOKENS
        return (
            expected_memory_tokens(max_tokens, PROMPT_TOKENS, expected)
            if by_estimate
            else max_tokens
        )


@dataclass
class Engine:
    """An engine; `loading` is the model that it loads until `loads_until_s`, empty for none."""

    name: str
    version_by_model: dict[str, int]
    slots: int = SLOTS
    runs: list[Text] = field(default_factory=list)
    loading: str = ""
    load_version: int = 0
    loads_until_s: float = 0.0
    unavailable_until_s: float = 0.0
    pace: Pace = field(default_factory=Pace)

    def event_s(self, slow: bool) -> float:
        """Return the seconds that each run needs for an event at the current fullness."""
        fullness = len(self.runs) / self.slots
        return EVENT_S * (1.0 + FULL_SLOWDOWN * fullness) * (SLOW_FACTOR if slow else 1.0)


@dataclass
class Trainer:
    """A trainer and its current step; `texts` are the items of that step."""

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
    Draw an item: one in twelve is five times as long, and its caller's estimate has an error.

    :param source: random numbers.
    :param now: seconds at which the item is submitted.
    :return: the item.
    """
    factor = LONG_FACTOR if source.random() < LONG_SHARE else 1
    drawn = source.lognormvariate(0.0, EVENTS_SIGMA) * EVENTS_MEDIAN * factor
    events = max(2, min(int(drawn), MAX_EVENTS))
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
    "Disturbance",
    "draw_text",
]
