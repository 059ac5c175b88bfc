"""
Chooses which engine loads which version of a model's weights next.

Situation: every trainer publishes a new version of its model every few seconds, and every engine
can serve every model. A load of weights is expensive: it takes the model out of service on its
engine for about a second, and loads become slower when too many run at once.

If each version were loaded on all engines, three trainers on five engines would cause fifteen loads
every four seconds. The weight store cannot serve that many, so no engine would ever have the
versions that jobs ask for.

Each model therefore has a fixed share of the engines as its hosts. The model keeps the same hosts
from version to version, and only the loss of a host changes them. At most half of a model's hosts
load weights at a time, so that the other hosts continue to serve the model.

Jobs that accept older versions do not need the newest version on all hosts. If jobs accept weights
that are one version old (a lag of one version), half of the hosts load every other version,
alternating with the other half. Each engine is then out of service half as often, and when a
version is published, the half that loaded the previous one still serves all jobs. If all hosts
loaded each version, each load would serve for one step only.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

# Largest share of the engines that load weights at a time, so that a step that begins finds half of
# the slots free. A share grows with the fleet: with a fixed number, the loads of a large fleet
# would end later than the jobs ask for their versions.
MAX_LOADING_SHARE = 0.4
MIN_LOADS_AT_ONCE = 2


@dataclass(frozen=True)
class EngineVersions:
    """
    An engine that may load weights.

    :param engine: id of the engine.
    :param version_by_model: version of the weights that the engine serves, by model.
    :param loading: the model for which the engine is loading weights; empty if it loads nothing.
    """

    engine: str
    version_by_model: Mapping[str, int]
    loading: str = ""


@dataclass(frozen=True)
class VersionLoad:
    """A load of one version of a model's weights, which an engine has to begin."""

    engine: str
    model: str
    version: int


def allowed_lag(newest: int, oldest_allowed: int) -> int:
    """
    Compute how many versions an engine may be behind the newest version and still run a job.

    :param newest: newest published version of the model when the job was submitted.
    :param oldest_allowed: oldest version that the job accepts.
    :return: the number of versions, never negative.
    """
    return max(0, newest - oldest_allowed)


def max_concurrent_loads(engines: int) -> int:
    """Return how many engines may load weights at a time in a fleet of this many engines."""
    return max(MIN_LOADS_AT_ONCE, int(engines * MAX_LOADING_SHARE))


def hosts_per_model(engines: int, models: int) -> int:
    """
    Return the number of engines that load the new versions of each model.

    A model gets no more engines (hosts) than its share: more hosts, each of which loads equally
    seldom, save steps no time and need more loads.

    :return: number of engines divided by number of models, rounded up.
    """
    if not engines or not models:
        return 0
    return -(-engines // models)


def choose_hosts(
    hosts: Sequence[EngineVersions], version_by_model: Mapping[str, int]
) -> dict[str, tuple[str, ...]]:
    """
    Choose the engines that load the new versions of each model.

    Engines with the newest version of the model are preferred, then the engines that are hosts of
    the fewest other models.

    :param hosts: engines that serve.
    :param version_by_model: newest version that the trainers published.
    :return: engine ids by model, the engines with the newest version first.
    """
    wanted = hosts_per_model(len(hosts), len(version_by_model))
    models_by_engine = {host.engine: 0 for host in hosts}
    chosen: dict[str, tuple[str, ...]] = {}
    for model in sorted(version_by_model):

        def rank(host: EngineVersions, model: str = model) -> tuple[int, int, str]:
            version = host.version_by_model.get(model, 0)
            return (-version, models_by_engine[host.engine], host.engine)

        best = sorted(hosts, key=rank)[:wanted]
        for host in best:
            models_by_engine[host.engine] += 1
        chosen[model] = tuple(host.engine for host in best)
    return chosen


def next_loads(
    hosts: Sequence[EngineVersions],
    version_by_model: Mapping[str, int],
    max_loads: int,
    lag_by_model: Mapping[str, int],
) -> tuple[VersionLoad, ...]:
    """
    Choose which engines begin to load which versions now.

    :param hosts: engines that serve.
    :param version_by_model: newest version that the trainers published.
    :param max_loads: largest number of loads that the weight store can serve at a time, see
        `max_concurrent_loads`.
    :param lag_by_model: number of versions that an engine may be behind and still run the model's
        jobs; 0 for a model without a value.
    :return: the loads; models whose newest version on any host is the lowest come first.
    """
    host_by_engine = {host.engine: host for host in hosts}
    running_loads = sum(1 for host in hosts if host.loading)
    ordered: set[str] = set()
    loads: list[VersionLoad] = []
    chosen = choose_hosts(hosts, version_by_model)
    for model in sorted(chosen, key=lambda name: _newest_served(chosen, host_by_engine, name)):
        version = version_by_model[model]
        engines = chosen[model]
        model_loads = sum(1 for engine in engines if host_by_engine[engine].loading == model)
        model_hosts = [host_by_engine[engine] for engine in engines]
        for engine in _due(model_hosts, model, version, lag_by_model.get(model, 0)):
            if running_loads >= max_loads or model_loads >= max(1, len(engines) // 2):
                break
            if host_by_engine[engine].loading or engine in ordered:
                continue
            loads.append(VersionLoad(engine, model, version))
            ordered.add(engine)
            model_loads += 1
            running_loads += 1
    return tuple(loads)


def _due(hosts: Sequence[EngineVersions], model: str, version: int, lag: int) -> tuple[str, ...]:
    """
    Choose the hosts that need the newest version; the hosts whose version is too old for all jobs
    come first.

    Of the hosts that the next version will make too old, up to half of all hosts, rounded up, may
    skip this version: the other half will serve while these hosts load the next version.
    """
    too_old = [host for host in hosts if host.version_by_model.get(model, 0) < version - lag]
    oldest_usable = [
        host for host in hosts if lag and host.version_by_model.get(model, 0) == version - lag
    ]
    may_skip = (len(hosts) + 1) // 2
    return tuple(host.engine for host in (*too_old, *oldest_usable[may_skip:]))


def _newest_served(
    chosen: Mapping[str, tuple[str, ...]], host_by_engine: Mapping[str, EngineVersions], model: str
) -> int:
    """Return the newest version that any host of a model serves; 0 if there is none."""
    versions = [host_by_engine[engine].version_by_model.get(model, 0) for engine in chosen[model]]
    return max(versions, default=0)


__all__ = [
    "EngineVersions",
    "VersionLoad",
    "allowed_lag",
    "choose_hosts",
    "hosts_per_model",
    "max_concurrent_loads",
    "next_loads",
]
