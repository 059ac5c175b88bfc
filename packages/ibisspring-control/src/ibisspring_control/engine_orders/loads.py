"""Which weight loads are under way and which have failed; no network and no clock of its own."""

from __future__ import annotations

import dataclasses
import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ibisspring_decisions.weights import EngineView, plan_wave

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ibisspring_core.messages.endpoints import Disproof, EndpointRecord


@dataclass(frozen=True)
class Target:
    """The version that every engine of a model should use for an adapter."""

    model: str
    adapter: str
    version: int


@dataclass(frozen=True)
class Load:
    """
    One load to be ordered.

    :param attempt: unique in its table; a retry goes out under an order id of its own, since a
        receiver answers a known id without doing the work again.
    """

    target: Target
    endpoint: str
    incarnation: int
    address: str
    attempt: int


@dataclass(frozen=True)
class _Attempt:
    """
    The last load at one place.

    :param disproved: the version is announced already and tokens said otherwise, so that its
        announcement no longer shows whether a load worked.
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
    The loads of a leader, judged by what engines announce.

    An order's 202 only says that the engine took it. Whether the swap worked shows in the version
    that the engine announces afterwards; without it the load has failed once its time is over. A
    wrong judgement here costs time and never a label: labels come from the engine's tokens alone.
    """

    def __init__(self, store_places: int, load_timeout_s: float) -> None:
        self._store_places = store_places
        self._load_timeout_s = load_timeout_s
        self._attempt_by_place: dict[tuple[str, str], _Attempt] = {}
        self._disproofs_by_place: dict[tuple[str, str, int], int] = {}
        self._numbers = itertools.count(1)

    def plan(
        self, target: Target, engines: tuple[EndpointRecord, ...], now: float
    ) -> tuple[Load, ...]:
        """
        Take in what the engines announce and choose the loads to order now.

        :param target: what is wanted.
        :param engines: the model's engines.
        :param now: seconds on the lease clock.
        :return: loads that count as under way from now on.
        """
        for engine in engines:
            self._update(target, engine, now)
        views = tuple(self._view(target, engine) for engine in engines)
        places = self._store_places - self.loading()
        record_by_endpoint = {engine.endpoint: engine for engine in engines}
        loads = []
        for endpoint in plan_wave(views, target.version, places, now):
            loads.append(self._begin(target, record_by_endpoint[endpoint], now))
        return tuple(loads)

    def loading(self) -> int:
        """Loads that are under way."""
        return sum(1 for attempt in self._attempt_by_place.values() if attempt.loading)

    def failed(self, load: Load, now: float) -> None:
        """
        Note that the engine refused a load or that its order was not delivered.

        :param now: seconds on the lease clock.
        """
        place = (load.endpoint, load.target.adapter)
        attempt = self._attempt_by_place.get(place)
        if attempt is None or attempt.version != load.target.version or not attempt.loading:
            return
        self._attempt_by_place[place] = _failed(attempt, now)

    def disprove(self, disproof: Disproof, now: float) -> None:
        """
        Note that an engine's tokens disproved a version that it announces.

        The swap is ordered again, each time after a longer pause. Its announcement can't show
        whether that worked; entries find out by the next labels.

        :param disproof: from an entry.
        :param now: seconds on the lease clock.
        """
        place = (disproof.endpoint, disproof.adapter)
        attempt = self._attempt_by_place.get(place)
        if attempt is not None and (attempt.loading or attempt.version > disproof.version):
            return
        counted = (*place, disproof.version)
        failures = self._disproofs_by_place.get(counted, 0) + 1
        self._disproofs_by_place[counted] = failures
        self._attempt_by_place[place] = _Attempt(
            disproof.incarnation,
            disproof.version,
            now,
            failures,
            now,
            loading=False,
            disproved=True,
        )

    def keep_only(self, engines: Iterable[EndpointRecord]) -> None:
        """Forget engines that are gone; their loads free their places in the weight store."""
        known = {(engine.endpoint, engine.incarnation) for engine in engines}
        for place, attempt in tuple(self._attempt_by_place.items()):
            if (place[0], attempt.incarnation) not in known:
                del self._attempt_by_place[place]
        endpoints = {endpoint for endpoint, _ in known}
        for counted in tuple(self._disproofs_by_place):
            if counted[0] not in endpoints:
                del self._disproofs_by_place[counted]

    def _update(self, target: Target, engine: EndpointRecord, now: float) -> None:
        place = (engine.endpoint, target.adapter)
        attempt = self._attempt_by_place.get(place)
        if attempt is None:
            return
        announced = engine.version_by_adapter.get(target.adapter)
        restarted = attempt.incarnation != engine.incarnation
        over = attempt.loading and now - attempt.started_s > self._load_timeout_s
        if attempt.disproved and announced == attempt.version and not restarted:
            if over:
                # Its word is taken again, until tokens disprove it once more.
                del self._attempt_by_place[place]
        elif restarted or (announced is not None and announced >= attempt.version):
            del self._attempt_by_place[place]
        elif over:
            self._attempt_by_place[place] = _failed(attempt, now)

    def _view(self, target: Target, engine: EndpointRecord) -> EngineView:
        attempt = self._attempt_by_place.get((engine.endpoint, target.adapter))
        version = engine.version_by_adapter.get(target.adapter)
        if attempt is None:
            return EngineView(engine.endpoint, version, running=engine.load.running)
        same = attempt.version == target.version
        return EngineView(
            engine.endpoint,
            None if attempt.disproved else version,
            loading=attempt.loading,
            failures=attempt.failures if same else 0,
            failed_s=attempt.failed_s if same else 0.0,
            running=engine.load.running,
        )

    def _begin(self, target: Target, engine: EndpointRecord, now: float) -> Load:
        place = (engine.endpoint, target.adapter)
        earlier = self._attempt_by_place.get(place)
        same = earlier is not None and earlier.version == target.version
        self._attempt_by_place[place] = _Attempt(
            engine.incarnation,
            target.version,
            now,
            earlier.failures if same else 0,
            0.0,
            loading=True,
            disproved=same and earlier.disproved,
        )
        return Load(
            target, engine.endpoint, engine.incarnation, engine.address, next(self._numbers)
        )


def _failed(attempt: _Attempt, now: float) -> _Attempt:
    return dataclasses.replace(attempt, failures=attempt.failures + 1, failed_s=now, loading=False)


__all__ = ["Load", "LoadTable", "Target"]
