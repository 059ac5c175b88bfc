"""Entries that exchange endpoint records over connections that stop delivering bytes."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from integration.processes import free_address, python_module, wait_until
from integration.proxy import FaultProxy, Mode
from integration.requests_system import RequestsSystem
from integration.rules_system import RulesSystem, rules_text

PATH = "/v1/services/archive-app/find"


async def serves(system: RequestsSystem, entry: str) -> bool:
    answer = await system.ask(system.url(entry), "GET", PATH)
    return answer.status == 200


def announce_only_to(system: RequestsSystem, entry: str, name: str) -> None:
    listen = free_address()
    system.address_by_name[name] = listen
    arguments = ["--endpoint", name, "--listen", listen, "--entry", system.url(entry)]
    system.cluster.start_other(name, python_module("fakes.plain", *arguments))


async def test_silent_connections_between_entries_are_replaced(tmp_path: Path) -> None:
    # Two entries exchange endpoint records over connections whose state the network path drops: the
    # connections stay open and deliver nothing. From then on each entry used to know only the
    # endpoints that announced to it, and refused requests that only other endpoints could serve.
    rules = RulesSystem.from_counts(tmp_path, 1, 2)
    proxies = {}
    for daemon in rules.entries():
        settings = rules.cluster.settings_by_daemon[daemon]["entry"]
        proxies[daemon] = await FaultProxy.in_front_of(settings["listen_peer"])
        settings["advertise_peer"] = proxies[daemon].address
    system = RequestsSystem(tmp_path, rules)
    try:
        await rules.bootstrap()
        assert (await rules.apply(rules_text(), 0)).returncode == 0
        await wait_until(lambda: any(proxy.links for proxy in proxies.values()), "the exchange")

        for proxy in proxies.values():
            await proxy.set_modes_of_open(Mode.SILENT, Mode.SILENT)
        announce_only_to(system, "e2", "archive-1")

        await wait_until(lambda: serves(system, "e1"), "e1 to know the endpoint")
    finally:
        system.stop_all()
        for proxy in proxies.values():
            await proxy.stop()


async def test_leaving_endpoint_gets_no_new_work_at_any_entry(tmp_path: Path) -> None:
    # An endpoint announces to one entry that it is leaving. Another entry used to send requests to
    # that endpoint until it had ended.
    system = await RequestsSystem.started(tmp_path, 1, 2)
    try:
        announce_only_to(system, "e2", "archive-1")
        await wait_until(lambda: serves(system, "e1"), "e1 to know the endpoint")
        # A running call delays the end of the leaving endpoint.
        await system.fault("archive-1", answer_delay_s=30.0)
        running_call = asyncio.create_task(system.ask(system.url("e1"), "POST", PATH))

        async def calls() -> int:
            return len((await system.log("archive-1"))["calls"])

        async def posted() -> bool:
            return (await system.log("archive-1"))["calls"][-1]["method"] == "POST"

        await wait_until(posted, "the call to run")
        system.cluster.process_by_name["archive-1"].send(signal.SIGTERM)

        async def refused() -> bool:
            try:
                pending = system.ask(system.url("e1"), "DELETE", PATH)
                answer = await asyncio.wait_for(pending, 1.0)
            except TimeoutError:
                # The call was sent before e1 received the announcement, and is running.
                return False
            return answer.status == 503 and answer.error()["not_run"]

        await wait_until(refused, "e1 to refuse", 20.0)
        before = await calls()

        assert await refused()
        assert not await serves(system, "e2")
        assert await calls() == before <= 4
        running_call.cancel()
    finally:
        system.stop_all()
