"""
Table of the weight loads that engines perform or that failed.

A weight load is the loading of one version of an adapter's weights by one engine from the weight
store. The table uses neither the network nor a clock: callers pass announcements and times.
"""

from __future__ import annotations

import dataclasses
import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ibisspring_decisions.weights import EngineLoadState, choose_loads

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ibisspring_core.messages.endpoints import Disproof, EndpointRecord


@dataclass(frozen=True)
class Target:
    """The weight version that every engine of a model should use for an adapter."""

    model: str
    adapter: str
    version: int


@dataclass(frozen=True)
class Load:
    """
    One weight load that is to be ordered from an engine.

    :param target: model, adapter and version to be loaded.
    :param endpoint: id of the engine.
    :param incarnation: incarnation of the engine that is to load the version.
    :param address: `host:port` of the engine.
    :param attempt: number that is unique in the table. The order id contains this number, so that a
        retry gets a new order id: an engine answers a known order id without executing the order
        again.
    """

    target: Target
    endpoint: str
    incarnation: int
    address: str
    attempt: int


@dataclass(frozen=True)
class _Attempt:
    """
    The last weight load of one adapter that was ordered from one engine.

    :param incarnation: incarnation of the engine.
    :param version: the weight version that was ordered.
    :param started_s: time at which the order was planned, seconds on the lease clock.
    :param failures: number of consecutive failed loads of this version.
    :param failed_s: time at which the last failure was recorded, seconds on the lease clock.
    :param loading: True while the load is in progress.
    :param disproved: True if the engine announces the version, but its tokens were of another
        version. Its announcement then does not show whether a load succeeded.
    """

    incarnation: int
    version: int
    started_s: float
    failures: int
    failed_s: float
    loading: bool
    disproved: bool = False


class LoadTable:
    """
    The weight loads that a leader ordered, evaluated by the versions that engines announce.

    The answer 202 to an order only means that the engine accepted the order. A load succeeded once
    the engine announces the version, and failed if the engine does not announce the version within
    `load_timeout_s` seconds. A wrong entry in this table only costs time and never puts a wrong
    weight version on a sample's label, because labels are derived only from the engine's tokens.
    """

    def __init__(self, max_store_loads: int, load_timeout_s: float) -> None:
        self._max_store_loads = max_store_loads
        self._load_timeout_s = load_timeout_s
        self._attempt_by_adapter_key: dict[tuple[str, str], _Attempt] = {}
        self._disproof_count_by_version_key: dict[tuple[str, str, int], int] = {}
        self._numbers = itertools.count(1)

    def plan(
        self, target: Target, engines: tuple[EndpointRecord, ...], now: float
    ) -> tuple[Load, ...]:
        """
        Update the table from the engines' announcements and choose the loads to order now.

        :param target: the adapter and the version that its engines should use.
        :param engines: newest announcements of the engines that serve the target's model.
        :param now: seconds on the lease clock.
        :return: the loads to order; the table counts them as in progress from now on.
        """
        for engine in engines:
            self._update(target, engine, now)
        views = tuple(self._view(target, engine) for engine in engines)
        free_slots = self._max_store_loads - self.loading_count()
        record_by_endpoint = {engine.endpoint: engine for engine in engines}
        loads = []
        for endpoint in choose_loads(views, target.version, free_slots, now):
            loads.append(self._start_load(target, record_by_endpoint[endpoint], now))
        return tuple(loads)

    def loading_count(self) -> int:
        """Return the number of loads in progress, which use slots of the weight store."""
        return sum(1 for attempt in self._attempt_by_adapter_key.values() if attempt.loading)

    def record_failure(self, load: Load, now: float) -> None:
        """
        Record that an engine refused to load a version or that the order was not delivered.

        :param load: a load that `plan` returned; ignored if a newer version was ordered since.
        :param now: seconds on the lease clock.
        """
        adapter_key = (load.endpoint, load.target.adapter)
        attempt = self._attempt_by_adapter_key.get(adapter_key)
        if attempt is None or attempt.version != load.target.version or not attempt.loading:
            return
        self._attempt_by_adapter_key[adapter_key] = _with_failure(attempt, now)

    def record_disproof(self, disproof: Disproof, now: float) -> None:
        """
        Record that an engine does not have the version that it announces.

        `plan` orders the load again, each time after more seconds. The engine's announcement cannot
        show whether the repeated load succeeded; entries detect it by the versions of the tokens
        that the engine generates afterwards.

        :param disproof: an entry's report that the engine's tokens were of another version.
        :param now: seconds on the lease clock.
        """
        adapter_key = (disproof.endpoint, disproof.adapter)
        attempt = self._attempt_by_adapter_key.get(adapter_key)
        if attempt is not None and (attempt.loading or attempt.version > disproof.version):
            return
        version_key = (*adapter_key, disproof.version)
        failures = self._disproof_count_by_version_key.get(version_key, 0) + 1
        self._disproof_count_by_version_key[version_key] = failures
        self._attempt_by_adapter_key[adapter_key] = _Attempt(
            disproof.incarnation,
            disproof.version,
            now,
            failures,
            now,
            loading=False,
            disproved=True,
        )

    def retain(self, engines: Iterable[EndpointRecord]) -> None:
        """Remove the loads of all other engines, which frees their slots of the weight store."""
        known = {(engine.endpoint, engine.incarnation) for engine in engines}
        for adapter_key, attempt in tuple(self._attempt_by_adapter_key.items()):
            if (adapter_key[0], attempt.incarnation) not in known:
                del self._attempt_by_adapter_key[adapter_key]
        endpoints = {endpoint for endpoint, _ in known}
        for version_key in tuple(self._disproof_count_by_version_key):
            if version_key[0] not in endpoints:
                del self._disproof_count_by_version_key[version_key]

    def _update(self, target: Target, engine: EndpointRecord, now: float) -> None:
        adapter_key = (engine.endpoint, target.adapter)
        attempt = self._attempt_by_adapter_key.get(adapter_key)
        if attempt is None:
            return
        announced = engine.version_by_adapter.get(target.adapter)
        restarted = attempt.incarnation != engine.incarnation
        timed_out = attempt.loading and now - attempt.started_s > self._load_timeout_s
        if attempt.disproved and announced == attempt.version and not restarted:
            if timed_out:
                # The repeated load had `load_timeout_s` to end. Trust the engine's announcement
                # again until its tokens disprove the version once more.
                del self._attempt_by_adapter_key[adapter_key]
        elif restarted or (announced is not None and announced >= attempt.version):
            del self._attempt_by_adapter_key[adapter_key]
        elif timed_out:
            self._attempt_by_adapter_key[adapter_key] = _with_failure(attempt, now)

    def _view(self, target: Target, engine: EndpointRecord) -> EngineLoadState:
        attempt = self._attempt_by_adapter_key.get((engine.endpoint, target.adapter))
        version = engine.version_by_adapter.get(target.adapter)
        if attempt is None:
            return EngineLoadState(engine.endpoint, version, running=engine.load.running)
        same_version = attempt.version == target.version
        return EngineLoadState(
            engine.endpoint,
            None if attempt.disproved else version,
            loading=attempt.loading,
            failures=attempt.failures if same_version else 0,
            failed_s=attempt.failed_s if same_version else 0.0,
            running=engine.load.running,
        )

    def _start_load(self, target: Target, engine: EndpointRecord, now: float) -> Load:
        adapter_key = (engine.endpoint, target.adapter)
        previous = self._attempt_by_adapter_key.get(adapter_key)
        same_version = previous is not None and previous.version == target.version
        self._attempt_by_adapter_key[adapter_key] = _Attempt(
            engine.incarnation,
            target.version,
            now,
            previous.failures if same_version else 0,
            0.0,
            loading=True,
            disproved=same_version and previous.disproved,
        )
        return Load(
            target, engine.endpoint, engine.incarnation, engine.address, next(self._numbers)
        )


def _with_failure(attempt: _Attempt, now: float) -> _Attempt:
    return dataclasses.replace(attempt, failures=attempt.failures + 1, failed_s=now, loading=False)


__all__ = ["Load", "LoadTable", "Target"]
