"""
Chooses which engines of a model load a new version of its weights now.

Situation: a trainer publishes weights every few minutes. All engines that serve its model must load
them from a weight store that serves only a few loads at a time, while sample requests and other
callers' requests continue. A load of weights may fail, hang, or be reported as done without having
been done.

If every engine were ordered to load at once, the store would refuse most loads, the refused engines
would retry together, and no engine would serve in the meantime. An engine whose load fails and is
repeated at once would take the store's capacity from engines that could have loaded.

The policy lets at most half of a model's engines load at a time and delays the retries of failed
loads with exponential backoff.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

# Smallest share of a model's engines that serve while its other engines load weights. The only
# engine of a model loads nevertheless, because samples from old weights would eventually be of no
# use.
MIN_SERVING_SHARE = 0.5
# Delay in seconds of the first retry of a failed load, which costs one second of staleness. Each
# further failure doubles the delay.
RETRY_BASE_S = 1.0
# Longest delay of a retry in seconds. With 30 s, an engine that always fails uses the weight store
# at most twice a minute, and the delay is a small part of the minutes between two versions.
RETRY_MAX_S = 30.0


@dataclass(frozen=True)
class EngineLoadState:
    """
    One engine that serves the model.

    :param endpoint: id of the endpoint.
    :param version: version of the adapter that the engine announces; None if it has no adapter.
    :param loading: whether the engine was ordered to load weights and this load has not ended.
    :param failures: number of failed loads of the wanted version in a row.
    :param failed_s: time of the last failure in seconds.
    :param running: number of requests that the engine runs.
    """

    endpoint: str
    version: int | None
    loading: bool = False
    failures: int = 0
    failed_s: float = 0.0
    running: int = 0


def retry_time_s(failures: int, failed_s: float) -> float:
    """
    Compute the time at which a failed load may be tried again.

    :param failures: number of failures in a row; with 0 the load may begin at once.
    :param failed_s: time of the last failure in seconds.
    :return: time in seconds on the same clock.
    """
    if failures == 0:
        return failed_s
    return failed_s + min(RETRY_MAX_S, RETRY_BASE_S * 2 ** (failures - 1))


def choose_loads(
    engines: tuple[EngineLoadState, ...], wanted: int, free_store_slots: int, now: float
) -> tuple[str, ...]:
    """
    Choose the engines that load the wanted version now.

    :param engines: all serving engines of the model.
    :param wanted: version of the weights to be loaded.
    :param free_store_slots: number of further loads that the weight store can serve now.
    :param now: time in seconds on the clock of `failed_s`.
    :return: ids of engines with the fewest failures first, then the oldest version, then the fewest
        running requests.
    """
    loading = sum(1 for engine in engines if engine.loading)
    max_loading = max(1, math.floor(len(engines) * (1 - MIN_SERVING_SHARE)))
    max_new = min(free_store_slots, max_loading - loading)
    if max_new <= 0:
        return ()
    ready = []
    for engine in engines:
        if engine.loading:
            continue
        if engine.version is not None and engine.version >= wanted:
            continue
        if retry_time_s(engine.failures, engine.failed_s) > now:
            continue
        ready.append(engine)
    ready.sort(
        key=lambda engine: (
            engine.failures,
            -1 if engine.version is None else engine.version,
            engine.running,
        )
    )
    return tuple(engine.endpoint for engine in ready[:max_new])


__all__ = [
    "MIN_SERVING_SHARE",
    "RETRY_BASE_S",
    "RETRY_MAX_S",
    "EngineLoadState",
    "choose_loads",
    "retry_time_s",
]
