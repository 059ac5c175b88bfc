"""An entry and a control VM on the minority side of a partition."""

from __future__ import annotations

import json

import aiohttp

from integration.processes import http_answers, wait_until
from integration.proxy import FaultProxy
from integration.rules_system import KEY, RulesSystem, rules_text

REMAINING_KEY = "key-that-stays"


class _Partition:
    """Proxies on every path between the two sides of a partition; `close` starts the partition."""

    def __init__(self) -> None:
        self.proxies: list[FaultProxy] = []

    async def add_proxies(self, system: RulesSystem, inside: set[str]) -> None:
        """Put a proxy before every control address that is used across the partition."""
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
                proxy = await FaultProxy.in_front_of(address)
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
    Guards against an entry that accepts a withdrawn key for as long as a partition lasts.

    One control VM and one entry are partitioned from the others for longer than the entry's lease;
    on the other side an operator withdraws a key. All daemons run, and the entry still reaches the
    control VM on its side. The entry must not keep serving with its old rules.
    """
    system = RulesSystem.from_counts(tmp_path, controls=3, entries=2)
    partition = _Partition()
    await partition.add_proxies(system, {"c3", "e2"})
    url = system.cluster.url("e2")
    try:
        await system.bootstrap()
        await _move_leader_to_majority(system)
        granted = await system.apply(rules_text(keys=(KEY, REMAINING_KEY)), 0)
        assert granted.returncode == 0, granted.stderr
        assert (await _ask(url, KEY))[1]["reason"] == "no_endpoint"
        term = (await system.run_json("status"))["term"]
        await partition.close()

        withdrawn = await system.apply(rules_text(keys=(REMAINING_KEY,)), 1)

        assert withdrawn.returncode == 0, withdrawn.stderr
        status, error = await _ask(url, KEY)
        assert (status, error["reason"], error["not_run"]) == (503, "lease_lapsed", True)
        assert error["retry_after_s"] > 0
        assert not await http_answers(f"{url}/readyz")
        assert (await _ask(system.cluster.url("e1"), KEY))[1]["reason"] == "unknown_key"
        assert (await _ask(system.cluster.url("e1"), REMAINING_KEY))[1]["reason"] == "no_endpoint"

        await partition.heal()
        await system.cluster.wait_ready("e2")
        assert (await _ask(url, KEY))[1]["reason"] == "unknown_key"
        assert (await _ask(url, REMAINING_KEY))[1]["reason"] == "no_endpoint"
        after = await wait_until(
            lambda: _status_with_both_entries(system), "both entries to hold a lease"
        )
        assert after["term"] == term
    finally:
        system.stop_all()


async def _move_leader_to_majority(system: RulesSystem) -> None:
    """Make c1 or c2 the leader; a leader on the minority side is a different test case."""
    if await system.leader() != "c3":
        return
    await system.cluster.process_by_name["c3"].terminate()
    await system.leader(other_than="c3")
    system.cluster.start("c3")


async def _status_with_both_entries(system: RulesSystem) -> dict | None:
    status = await system.run_json("status")
    return status if len(status["entries"]) == 2 else None
