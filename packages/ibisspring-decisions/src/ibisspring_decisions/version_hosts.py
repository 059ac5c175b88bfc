"""
Which engine loads which weight version next.

Load pattern: every trainer names a new version of its model every few seconds, all engines can
serve all models, a load takes an engine's model out of service for about a second and is dear, and
loads get slower when too many run at once.

Without it each version would be loaded everywhere: with three trainers on five engines fifteen
loads every four seconds, more than the weight store carries, so that no engine would ever hold the
versions that jobs ask for.

Grounds: a version is needed on as many engines as each trainer's share of them, so a model keeps
the same hosts from version to version and only the loss of one moves it. Of a model's hosts at most
half load at once, so that the others go on serving it.

Jobs that allow older versions need not have the newest everywhere. Where one version back is
allowed, half of the hosts load every other version in turn: each engine is out of service half as
often, and when a version is named the half that took the one before still serves all jobs. Loaded
by all, each version is used for one step only.

A model has no more hosts than its share of the engines. Twice as many, each loading as seldom, gave
steps no time in the emulated grid (0.80 of the groups in time with both, two trainers on five
engines) and took 59 loads where the bare share takes 36.

`LOADING_SHARE` two fifths of the engines load at once: with more of them, a step that begins finds
less than half of the places. Fixed at two, loads were the bound of a fleet of twenty engines, where
they came later than the versions that jobs asked for.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

LOADING_SHARE = 0.4
LEAST_AT_ONCE = 2


@dataclass(frozen=True)
class Host:
    """
    An engine that may load.

    :param engine: its id.
    :param version_by_model: versions in use.
    :param loading: model that it loads now; empty for none.
    """

    engine: str
    version_by_model: Mapping[str, int]
    loading: str = ""


@dataclass(frozen=True)
class Load:
    """A load to begin."""

    engine: str
    model: str
    version: int


def allowed_lag(named: int, oldest_allowed: int) -> int:
    """
    Tell how many versions an engine may be behind.

    :param named: newest version of the model when a job came.
    :param oldest_allowed: oldest version that the job takes.
    """
    return max(0, named - oldest_allowed)


def loads_at_once(engines: int) -> int:
    """Tell how many of a number of engines may load at a time."""
    return max(LEAST_AT_ONCE, int(engines * LOADING_SHARE))


def hosts_per_model(engines: int, models: int) -> int:
    """
    Tell how many engines keep up with a model's versions.

    :return: each model's share of the engines, rounded up.
    """
    if not engines or not models:
        return 0
    return -(-engines // models)


def choose_hosts(
    hosts: Sequence[Host], version_by_model: Mapping[str, int]
) -> dict[str, tuple[str, ...]]:
    """
    Choose the engines that keep up with each model.

    :param hosts: engines that serve.
    :param version_by_model: newest version that trainers named.
    :return: engines by model, those with the newest version first.
    """
    wanted = hosts_per_model(len(hosts), len(version_by_model))
    duty_by_engine = {host.engine: 0 for host in hosts}
    chosen: dict[str, tuple[str, ...]] = {}
    for model in sorted(version_by_model):

        def rank(host: Host, model: str = model) -> tuple[int, int, str]:
            version = host.version_by_model.get(model, 0)
            return (-version, duty_by_engine[host.engine], host.engine)

        best = sorted(hosts, key=rank)[:wanted]
        for host in best:
            duty_by_engine[host.engine] += 1
        chosen[model] = tuple(host.engine for host in best)
    return chosen


def next_loads(
    hosts: Sequence[Host],
    version_by_model: Mapping[str, int],
    at_once: int,
    lag_by_model: Mapping[str, int],
) -> tuple[Load, ...]:
    """
    Choose the loads to begin now.

    :param hosts: engines that serve.
    :param version_by_model: newest version that trainers named.
    :param at_once: loads that the weight store carries at a time.
    :param lag_by_model: versions that jobs of a model let an engine be behind; 0 where unknown.
    :return: loads, the models that lag most first.
    """
    host_by_engine = {host.engine: host for host in hosts}
    loading = sum(1 for host in hosts if host.loading)
    begun: set[str] = set()
    loads: list[Load] = []
    chosen = choose_hosts(hosts, version_by_model)
    for model in sorted(chosen, key=lambda name: _current(chosen, host_by_engine, name)):
        version = version_by_model[model]
        engines = chosen[model]
        busy = sum(1 for engine in engines if host_by_engine[engine].loading == model)
        hosts_of = [host_by_engine[engine] for engine in engines]
        for engine in _due(hosts_of, model, version, lag_by_model.get(model, 0)):
            if loading >= at_once or busy >= max(1, len(engines) // 2):
                break
            if host_by_engine[engine].loading or engine in begun:
                continue
            loads.append(Load(engine, model, version))
            begun.add(engine)
            busy += 1
            loading += 1
    return tuple(loads)


def _due(hosts: Sequence[Host], model: str, version: int, lag: int) -> tuple[str, ...]:
    """
    Choose the hosts that need the newest version, those that jobs can't use first.

    Those that the next version makes too old may be half of all, rounded up: the other half serves
    while they load then.
    """
    too_old = [one for one in hosts if one.version_by_model.get(model, 0) < version - lag]
    last_use = [one for one in hosts if lag and one.version_by_model.get(model, 0) == version - lag]
    may_stay = (len(hosts) + 1) // 2
    return tuple(one.engine for one in (*too_old, *last_use[may_stay:]))


def _current(
    chosen: Mapping[str, tuple[str, ...]], host_by_engine: Mapping[str, Host], model: str
) -> int:
    """Newest version that any host of a model has; the lowest goes first."""
    versions = [host_by_engine[one].version_by_model.get(model, 0) for one in chosen[model]]
    return max(versions, default=0)


__all__ = [
    "Host",
    "Load",
    "allowed_lag",
    "choose_hosts",
    "hosts_per_model",
    "loads_at_once",
    "next_loads",
]
