from __future__ import annotations

from ibisspring_decisions.version_hosts import Host, Load, choose_hosts, hosts_per_model, next_loads


def host(engine: str, loading: str = "", **versions: int) -> Host:
    return Host(engine, versions, loading)


def test_one_model_is_kept_up_on_all_engines_two_at_a_time() -> None:
    hosts = [host(name, m=1) for name in "abcde"]

    loads = next_loads(hosts, {"m": 2}, at_once=2)

    assert loads == (Load("a", "m", 2), Load("b", "m", 2))


def test_three_models_share_five_engines() -> None:
    # Three trainers name a version every four seconds. Loaded everywhere, that is fifteen loads,
    # of which two at a time are done in seven seconds: no engine ever holds what jobs ask for.
    hosts = [host(name, x=1, y=1, z=1) for name in "abcde"]

    chosen = choose_hosts(hosts, {"x": 2, "y": 2, "z": 2})

    assert {model: len(engines) for model, engines in chosen.items()} == {"x": 2, "y": 2, "z": 2}
    used = [engine for engines in chosen.values() for engine in engines]
    assert max(used.count(name) for name in "abcde") == 2
    assert set(used) == set("abcde")


def test_a_model_keeps_its_hosts() -> None:
    hosts = [host("a", x=1, y=5), host("b", x=4, y=1), host("c", x=4, y=5), host("d", x=1, y=1)]

    chosen = choose_hosts(hosts, {"x": 5, "y": 6})

    assert set(chosen["x"]) == {"b", "c"}
    assert set(chosen["y"]) == {"a", "c"}


def test_half_of_a_models_hosts_go_on_serving_it() -> None:
    hosts = [host("a", loading="m", m=1), host("b", m=1)]

    assert next_loads(hosts, {"m": 2}, at_once=2) == ()


def test_an_engine_that_loads_gets_no_second_order() -> None:
    hosts = [host("a", loading="x", x=1, y=1)]

    assert next_loads(hosts, {"y": 2}, at_once=2) == ()


def test_no_load_beyond_what_the_weight_store_carries() -> None:
    hosts = [host(name, loading="x", x=1, y=1) for name in "ab"] + [host("c", x=1, y=1)]

    assert next_loads(hosts, {"x": 2, "y": 2}, at_once=2) == ()


def test_without_engines_or_models_nothing_is_loaded() -> None:
    assert next_loads([], {"m": 2}, at_once=2) == ()
    assert next_loads([host("a", m=1)], {}, at_once=2) == ()
    assert hosts_per_model(5, 3) == 2
