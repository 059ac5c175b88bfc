from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from ibisspring_core.clock import boot_now
from ibisspring_core.counters import Counters
from ibisspring_core.kernel import Kernel
from ibisspring_core.routes import RepeatRule, Route, RouteIndex, RouteTable, Share
from ibisspring_gateway.attempts import EndpointResponse
from ibisspring_platform.edge_http import EdgeApp

ROUTE = Route("lookup", "a", "/lookup/", RepeatRule.IDEMPOTENT, (Share("archive", 1.0),), 1.0, 0.2)
SCOPE = {
    "method": "GET",
    "raw_path": b"/lookup/1",
    "query_string": b"",
    "headers": [(b"host", b"a"), (b"attempt-id", b"r1"), (b"deadline-ms", b"1000")],
}


def table() -> RouteIndex:
    return RouteIndex(RouteTable(1, (ROUTE,), (), ()))


def edge_app(waits_for_table: bool):
    """Build the application of an entry that has no route table yet."""
    callbacks = []
    view = SimpleNamespace(
        name="directory_view",
        index=None,
        table_version=-1,
        subscribe=callbacks.append,
        may_serve=lambda: view.index is not None,
        retry_after_s=lambda: 0.3,
    )
    view.callbacks = callbacks

    async def forward(request, route):
        return EndpointResponse(200, (), b"whole")

    kernel = Kernel()
    services = (
        view,
        SimpleNamespace(name="forwarder", forward=forward),
        SimpleNamespace(name="runner"),
        SimpleNamespace(name="result_reads"),
        Counters.from_config(None),
    )
    for service in services:
        kernel.register(service)
    return EdgeApp(kernel, waits_for_table), view


async def status_of(app: EdgeApp, scope=SCOPE, body: bytes = b"") -> int:
    sent = []

    async def receive():
        return {"type": "http.request", "body": body}

    async def send(message) -> None:
        sent.append(message)

    await app(scope, receive, send)
    return sent[0]["status"]


@pytest.mark.parametrize(("waits_for_table", "expected"), [(True, 200), (False, 503)])
async def test_request_waits_for_the_first_route_table(waits_for_table, expected) -> None:
    # All daemons end and start again. Each entry listens before it has a route table; a refusal at
    # once uses up the caller's only repetition, which comes before a leader is elected.
    app, view = edge_app(waits_for_table)

    async def receive_table() -> None:
        await asyncio.sleep(0.2)
        view.index = table()
        for callback in view.callbacks:
            callback()

    receiving = asyncio.create_task(receive_table())
    status = await status_of(app)
    await receiving

    assert status == expected


async def test_request_without_a_route_table_is_refused_in_time_for_a_repetition() -> None:
    app, _ = edge_app(waits_for_table=True)
    started_at = boot_now()

    assert await status_of(app) == 503
    assert boot_now() - started_at < 0.5


@pytest.mark.parametrize("size", [0, 1000, 100_000])
@pytest.mark.parametrize(
    ("has_lease", "path", "expected"), [(True, b"/other/1", 404), (False, b"/other/1", 503)]
)
async def test_a_route_is_unknown_only_under_a_lease_whatever_the_size_of_the_body(
    size, has_lease, path, expected
) -> None:
    # Key and route of a large body are looked up before it is read. An entry that may hold an old
    # table must not say that there is no route.
    app, view = edge_app(waits_for_table=False)
    view.index = table()
    view.may_serve = lambda: has_lease
    headers = [*SCOPE["headers"], (b"content-length", str(size).encode())]

    status = await status_of(app, {**SCOPE, "raw_path": path, "headers": headers}, bytes(size))

    assert status == expected
