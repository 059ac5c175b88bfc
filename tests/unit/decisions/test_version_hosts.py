from __future__ import annotations

from ibisspring_decisions.version_hosts import (
    EngineVersions,
    VersionLoad,
    allowed_lag,
    choose_hosts,
    hosts_per_model,
    max_concurrent_loads,
    next_loads,
)

LOAD_S = 0.9
PUBLISH_INTERVAL_S = 4.0
VERSIONS = 12
TICK_S = 0.1


def host(engine: str, loading: str = "", **versions: int) -> EngineVersions:
    return EngineVersions(engine, versions, loading)


def test_a_single_model_is_loaded_on_all_engines_two_at_a_time() -> None:
    hosts = [host(name, m=1) for name in "abcde"]

    loads = next_loads(hosts, {"m": 2}, max_loads=2, lag_by_model={})

    assert loads == (VersionLoad("a", "m", 2), VersionLoad("b", "m", 2))


def test_three_models_share_five_engines() -> None:
    # Three trainers each publish a version every four seconds. If all five engines loaded each
    # version, these fifteen loads would take seven seconds at two at a time, and no engine would
    # ever have the versions that jobs ask for.
    hosts = [host(name, x=1, y=1, z=1) for name in "abcde"]

    chosen = choose_hosts(hosts, {"x": 2, "y": 2, "z": 2})

    assert {model: len(engines) for model, engines in chosen.items()} == {"x": 2, "y": 2, "z": 2}
    chosen_engines = [engine for engines in chosen.values() for engine in engines]
    assert max(chosen_engines.count(name) for name in "abcde") == 2
    assert set(chosen_engines) == set("abcde")


def test_a_model_keeps_its_hosts() -> None:
    hosts = [host("a", x=1, y=5), host("b", x=4, y=1), host("c", x=4, y=5), host("d", x=1, y=1)]

    chosen = choose_hosts(hosts, {"x": 5, "y": 6})

    assert set(chosen["x"]) == {"b", "c"}
    assert set(chosen["y"]) == {"a", "c"}


def test_half_of_a_models_hosts_continue_to_serve_it() -> None:
    hosts = [host("a", loading="m", m=1), host("b", m=1)]

    assert next_loads(hosts, {"m": 2}, max_loads=2, lag_by_model={}) == ()


def test_an_engine_that_is_loading_gets_no_second_load() -> None:
    hosts = [host("a", loading="x", x=1, y=1)]

    assert next_loads(hosts, {"y": 2}, max_loads=2, lag_by_model={}) == ()


def test_no_more_loads_at_once_than_the_limit() -> None:
    hosts = [host(name, loading="x", x=1, y=1) for name in "ab"] + [host("c", x=1, y=1)]

    assert next_loads(hosts, {"x": 2, "y": 2}, max_loads=2, lag_by_model={}) == ()


def test_without_engines_or_models_nothing_is_loaded() -> None:
    assert next_loads([], {"m": 2}, max_loads=2, lag_by_model={}) == ()
    assert next_loads([host("a", m=1)], {}, max_loads=2, lag_by_model={}) == ()
    assert hosts_per_model(5, 3) == 2
    assert hosts_per_model(0, 3) == 0


def test_concurrent_loads_increase_with_the_number_of_engines() -> None:
    assert [max_concurrent_loads(engines) for engines in (1, 5, 12, 24)] == [2, 2, 4, 9]


class _Fleet:
    """
    Engines during a training run with a version every four seconds and loads of 0.9 s.

    :param loads: number of loads of weights that were begun.
    :param lost_engine_s: sum over the engines of the seconds in which they could not serve.
    :param min_serving: lowest number of engines that served at a time.
    """

    def __init__(self, engines: int) -> None:
        self.version_by_engine = {f"e{number}": 1 for number in range(engines)}
        self.load_by_engine: dict[str, tuple[VersionLoad, float]] = {}
        self.loads = 0
        self.lost_engine_s = 0.0
        self.min_serving = engines

    def hosts(self) -> list[EngineVersions]:
        return [
            host(engine, loading="m" if engine in self.load_by_engine else "", m=version)
            for engine, version in self.version_by_engine.items()
        ]

    def run(self, planned_lag: int, accepted_lag: int) -> None:
        """
        Simulate the training run.

        :param planned_lag: number of versions that engines may be behind, as passed to
            `next_loads`.
        :param accepted_lag: number of versions that an engine may be behind and still run the jobs.
        """
        for tick in range(int(VERSIONS * PUBLISH_INTERVAL_S / TICK_S)):
            now = tick * TICK_S
            newest = 1 + int(now / PUBLISH_INTERVAL_S)
            for engine, (load, until_s) in list(self.load_by_engine.items()):
                if now >= until_s:
                    self.version_by_engine[engine] = load.version
                    del self.load_by_engine[engine]
            for load in next_loads(self.hosts(), {"m": newest}, 2, {"m": planned_lag}):
                self.load_by_engine[load.engine] = (load, now + LOAD_S)
                self.loads += 1
            serving = [
                engine
                for engine, version in self.version_by_engine.items()
                if engine not in self.load_by_engine and version >= newest - accepted_lag
            ]
            self.lost_engine_s += (len(self.version_by_engine) - len(serving)) * TICK_S
            self.min_serving = min(self.min_serving, len(serving))


def test_jobs_that_accept_the_previous_version_need_half_the_loads() -> None:
    # An engine is out of service while it loads weights. If five engines loaded each version, every
    # four seconds, this would cost a fifth of their capacity, and each load is expensive.
    every_version, alternating = _Fleet(5), _Fleet(5)

    every_version.run(planned_lag=0, accepted_lag=1)
    alternating.run(planned_lag=1, accepted_lag=1)

    assert alternating.loads <= 0.55 * every_version.loads
    assert alternating.lost_engine_s <= 0.75 * every_version.lost_engine_s
    assert alternating.min_serving >= 2


def test_two_hosts_of_a_model_load_alternate_versions() -> None:
    fleet = _Fleet(2)

    fleet.run(planned_lag=1, accepted_lag=1)

    assert fleet.loads <= VERSIONS
    assert fleet.min_serving == 1


def test_if_jobs_accept_only_the_newest_version_all_hosts_load_each_version() -> None:
    fleet = _Fleet(5)

    fleet.run(planned_lag=0, accepted_lag=0)

    assert fleet.loads == 5 * (VERSIONS - 1)


def test_the_lag_is_the_number_of_older_versions_that_a_job_accepts_and_never_negative() -> None:
    assert allowed_lag(7, 6) == 1
    assert allowed_lag(7, 7) == 0
    assert allowed_lag(6, 7) == 0
