"""An entry and a control VM on the wrong side of a partition."""

from __future__ import annotations

import json

import aiohttp

from integration.processes import http_answers, wait_until
from integration.proxy import FaultProxy
from integration.rules_system import KEY, RulesSystem, rules_text

OTHER = "key-that-stays"


class _Cut:
    """Proxies on every path between two sides; `silence` is the partition."""

    def __init__(self) -> None:
        self.proxies: list[FaultProxy] = []

    async def between(self, system: RulesSystem, inside: set[str]) -> None:
        """Route every control address that crosses the cut through a proxy."""
        settings_by_daemon = system.cluster.settings_by_daemon
        listen = {
            name: settings["control"]["listen"]
            for name, settings in settings_by_daemon.items()
            if "control" in settings
        }
        for name, settings in settings_by_daemon.items():
            for target, address in listen.items():
                if (name in inside) == (target in inside):
                    continue
                proxy = await FaultProxy.before(address)
                settings["control_addresses"][target] = proxy.address
                self.proxies.append(proxy)

    async def close(self) -> None:
        for proxy in self.proxies:
            await proxy.silence()

    async def heal(self) -> None:
        for proxy in self.proxies:
            await proxy.heal()


async def _ask(url: str, key: str) -> tuple[int, dict]:
    headers = {"Authorization": f"Bearer {key}"}
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"{url}/v1/services/archive-app/x", headers=headers) as response,
    ):
        return response.status, json.loads(await response.read())["error"]


async def test_an_entry_on_the_wrong_side_stops_serving_within_its_lease(tmp_path) -> None:
    """
    One control VM and one entry are cut off from the others for long; on the other side an
    operator withdraws a key. Both halves stay up and the entry still reaches its control VM.

    Serving on what it knew, the entry would take the withdrawn key for as long as the cut lasts.
    """
    system = RulesSystem.from_counts(tmp_path, controls=3, entries=2)
    cut = _Cut()
    await cut.between(system, {"c3", "e2"})
    url = system.cluster.url("e2")
    try:
        await system.found()
        await _lead_outside(system)
        granted = await system.apply(rules_text(keys=(KEY, OTHER)), 0)
        assert granted.returncode == 0, granted.stderr
        assert (await _ask(url, KEY))[1]["reason"] == "no_endpoint"
        term = (await system.ask("status"))["term"]
        await cut.close()

        withdrawn = await system.apply(rules_text(keys=(OTHER,)), 1)

        assert withdrawn.returncode == 0, withdrawn.stderr
        status, error = await _ask(url, KEY)
        assert (status, error["reason"], error["not_run"]) == (503, "lease_lapsed", True)
        assert error["retry_after_s"] > 0
        assert not await http_answers(f"{url}/readyz")
        assert (await _ask(system.cluster.url("e1"), KEY))[1]["reason"] == "unknown_key"
        assert (await _ask(system.cluster.url("e1"), OTHER))[1]["reason"] == "no_endpoint"

        await cut.heal()
        await system.cluster.wait_ready("e2")
        assert (await _ask(url, KEY))[1]["reason"] == "unknown_key"
        assert (await _ask(url, OTHER))[1]["reason"] == "no_endpoint"
        after = await wait_until(lambda: _whole(system), "both entries to hold a lease")
        assert after["term"] == term
    finally:
        system.stop_all()


async def _lead_outside(system: RulesSystem) -> None:
    """Have c1 or c2 lead: a leader on the wrong side is another story."""
    if await system.leader() != "c3":
        return
    await system.cluster.process_by_name["c3"].terminate()
    await system.leader(but="c3")
    system.cluster.start("c3")


async def _whole(system: RulesSystem) -> dict | None:
    status = await system.ask("status")
    return status if len(status["entries"]) == 2 else None
