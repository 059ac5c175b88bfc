from __future__ import annotations

import json

from ibisspring_core.routes import RepeatRule, RouteTable
from ibisspring_platform.configuration import read_configuration

DOCUMENT = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "Archive.example",
            "path_prefix": "/lookup/",
            "type": "idempotent",
            "timeout_ms": 2000,
            "latency_target_ms": 191,
            "priority": 2,
            "split": [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}],
            "max_attempts": 2,
            "public": False,
        },
        {
            "name": "r-2",
            "host": "archive.example",
            "path_prefix": "/score/",
            "type": "rollout",
            "timeout_ms": 10000,
            "latency_target_ms": 400,
            "priority": 1,
            "service": "b",
            "max_attempts": 3,
            "item_ttl_s": 40.0,
            "deadline_ms": 7500,
            "single_version": True,
            "public": False,
        },
        {
            "name": "r-3",
            "host": "archive.example",
            "path_prefix": "/pay/",
            "type": "non_idempotent",
            "timeout_ms": 1000,
            "service": "a",
            "public": True,
        },
    ],
    "services": [
        {"name": "a", "health_path": "/healthz", "max_conns": 110},
        {
            "name": "b",
            "max_conns": 160,
            "engine": {"slots": 12, "kv_capacity": 29122, "models": [{"name": "m1"}]},
            "scaling": {"min": 1, "max": 3, "boot_s": 4.0, "zone_prices": {"derby": 1.0}},
        },
    ],
    "limits": {"idle_timeout_ms": 15000, "max_body_bytes": 100},
    "tenants": [{"name": "forge", "api_keys": ["k1", "k2"], "priority": 1}],
}


def read_changed(**changes):
    return read_configuration(json.dumps({**DOCUMENT, **changes}).encode())


def test_configuration_is_translated_into_a_route_table() -> None:
    table = read_changed()

    lookup, score, pay = table.routes
    assert table.version == 7
    assert lookup.host == "archive.example"
    assert lookup.repeat is RepeatRule.IDEMPOTENT
    assert [(share.service, share.weight) for share in lookup.shares] == [("a", 90), ("b", 10)]
    assert lookup.target_s == 0.191
    assert score.repeat is RepeatRule.JOB
    assert (score.job.due_s, score.job.give_up_s, score.job.single_version) == (7.5, 40.0, True)
    assert pay.repeat is RepeatRule.ONCE
    assert pay.public
    assert table.services[1].capacity == 12
    assert table.services[1].scaling.most == 3
    assert table.accounts[0].keys == ("k1", "k2")


def test_an_invalid_configuration_is_refused() -> None:
    # A configuration is truncated in transit, or refers to a service that was renamed. If it were
    # accepted, the routes of half of the callers would be missing.
    route = DOCUMENT["routes"][0]
    complete = json.dumps(DOCUMENT).encode()
    invalid_documents = [
        complete[: len(complete) // 2],
        b"",
        json.dumps({**DOCUMENT, "version": "7"}).encode(),
        json.dumps({**DOCUMENT, "routes": [{**route, "timeout_ms": 0}]}).encode(),
        json.dumps({**DOCUMENT, "services": []}).encode(),
        json.dumps({**DOCUMENT, "routes": [route, route]}).encode(),
        json.dumps(
            {**DOCUMENT, "tenants": [*DOCUMENT["tenants"], {"name": "x", "api_keys": ["k1"]}]}
        ).encode(),
    ]
    for document in invalid_documents:
        assert not isinstance(read_configuration(document), RouteTable), document[:80]
