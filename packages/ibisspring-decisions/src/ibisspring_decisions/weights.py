"""
Which engines load a new weight version now.

Load pattern: a trainer publishes weights every few minutes; every engine that it uses must load
them from a weight store that serves few loads at a time, while samples and callers go on. Loads
fail, hang, or are reported done and were not.

Without it (every engine ordered at once): the store refuses most loads, the refused ones come back
together, and an engine set that loads as one serves nobody in the meantime; a failed swap that is
repeated at once takes the store's places from the engines that could have loaded.

Grounds of the figures:
- SERVING_SHARE 0.5: at most half of a model's engines load at a time, so the other half serves;
  with one engine alone that one loads, since old weights would serve nobody's samples in the end.
- RETRY_FIRST_S 1.0, RETRY_MOST_S 30.0: the first retry costs a second of staleness; the cap keeps
  one broken engine from using a place of the store more often than twice a minute, and is a small
  part of the minutes between versions.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

SERVING_SHARE = 0.5
RETRY_FIRST_S = 1.0
RETRY_MOST_S = 30.0


@dataclass(frozen=True)
class EngineView:
    """
    One engine that serves the model.

    :param endpoint: its id.
    :param version: version that it says it uses for the adapter; None where it has none.
    :param loading: whether an order to it is under way.
    :param failures: swaps to the wanted version that failed in a row.
    :param failed_s: when the last one failed, seconds.
    :param running: requests in its work.
    """

    endpoint: str
    version: int | None
    loading: bool = False
    failures: int = 0
    failed_s: float = 0.0
    running: int = 0


def retry_at_s(failures: int, failed_s: float) -> float:
    """
    When a failed swap may be tried again.

    :param failures: failures in a row; 0 may start at once.
    :param failed_s: when the last one failed, seconds.
    """
    if failures == 0:
        return failed_s
    return failed_s + min(RETRY_MOST_S, RETRY_FIRST_S * 2 ** (failures - 1))


def plan_wave(
    engines: tuple[EngineView, ...], wanted: int, store_places: int, now: float
) -> tuple[str, ...]:
    """
    Choose the engines that load the wanted version now.

    :param engines: every serving engine of the model.
    :param wanted: version to be loaded.
    :param store_places: loads that the weight store has room for now.
    :param now: seconds on the clock of `failed_s`.
    :return: endpoint ids: those never failed first, then the oldest version, then the idlest.
    """
    loading = sum(1 for engine in engines if engine.loading)
    most = max(1, math.floor(len(engines) * (1 - SERVING_SHARE)))
    room = min(store_places, most - loading)
    if room <= 0:
        return ()
    ready = []
    for engine in engines:
        if engine.loading:
            continue
        if engine.version is not None and engine.version >= wanted:
            continue
        if retry_at_s(engine.failures, engine.failed_s) > now:
            continue
        ready.append(engine)
    ready.sort(
        key=lambda engine: (
            engine.failures,
            -1 if engine.version is None else engine.version,
            engine.running,
        )
    )
    return tuple(engine.endpoint for engine in ready[:room])


__all__ = [
    "RETRY_FIRST_S",
    "RETRY_MOST_S",
    "SERVING_SHARE",
    "EngineView",
    "plan_wave",
    "retry_at_s",
]
