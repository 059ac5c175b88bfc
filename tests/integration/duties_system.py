"""
Real daemons with a fake platform and a fake usage interface.

A fault proxy is on each path to a control daemon and on each path from a control daemon to a fake.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

from integration.fakes_of_test import Fakes
from integration.processes import free_address, http_answers, python_module, wait_until
from integration.proxy import FaultProxy, Mode
from integration.rules_system import RulesSystem, rules_text

CONTROLS = ("c1", "c2", "c3")
PLACEMENT_RULE = (
    "place scorer-lm in birmingham, derby, stoke count {count} cheap at-most 40% # asked: t, 9"
)


class DutiesSystem(Fakes):
    """Three control daemons, one entry, the fakes, and fault proxies by (source, target)."""

    def __init__(self, rules: RulesSystem) -> None:
        super().__init__(rules.cluster.start_other)
        self.rules = rules
        self.cluster = rules.cluster
        self.proxy_by_path: dict[tuple[str, str], FaultProxy] = {}

    @classmethod
    async def bootstrap(cls, folder: Path, **control: Any) -> DutiesSystem:
        """Start all processes and bootstrap the control cluster."""
        system = cls(RulesSystem.from_counts(folder, controls=3, entries=1, **control))
        for name in ("platform", "usage"):
            await system._start_fake(name)
        await system._add_proxies()
        await system.rules.bootstrap()
        return system

    async def _start_fake(self, name: str) -> None:
        self.address_by_name[name] = free_address()
        arguments = python_module(f"fakes.{name}", "--listen", self.address_by_name[name])
        process = self.cluster.start_other(name, arguments)
        url = f"http://{self.address_by_name[name]}/log"
        await wait_until(lambda: http_answers(url), f"{name} to answer")
        # Another process may have bound the port before the fake did and given the answer.
        assert process.alive(), process.tail()

    async def _add_proxies(self) -> None:
        sections = self.cluster.settings_by_daemon
        for source in (*CONTROLS, "e1"):
            for target in CONTROLS:
                if source == target:
                    continue
                listen = sections[target]["control"]["listen"]
                proxy = await self._add_proxy(source, target, listen)
                sections[source]["control_addresses"][target] = proxy.address
        for source in CONTROLS:
            for fake, address in self.address_by_name.items():
                proxy = await self._add_proxy(source, fake, address)
                sections[source]["control"][f"{fake}_url"] = f"http://{proxy.address}"

    async def _add_proxy(self, source: str, target: str, address: str) -> FaultProxy:
        proxy = await FaultProxy.in_front_of(address)
        self.proxy_by_path[(source, target)] = proxy
        return proxy

    def paths_of(self, daemon: str) -> list[FaultProxy]:
        """Return the proxies on all paths from and to a control daemon."""
        return [proxy for path, proxy in self.proxy_by_path.items() if daemon in path]

    async def isolate(self, daemon: str) -> None:
        """
        Partition a control daemon from all other processes.

        The proxies hold the bytes and deliver them when the partition heals, as TCP does by
        retransmission.
        """
        for proxy in self.paths_of(daemon):
            await proxy.set_modes(Mode.HOLD, Mode.HOLD)

    async def heal(self, daemon: str) -> None:
        for proxy in self.paths_of(daemon):
            await proxy.heal()

    async def apply_placement(self, count: int) -> None:
        """Apply rules that place `count` endpoints; the leader orders them one by one."""
        applied = await self.rules.apply(rules_text(PLACEMENT_RULE.format(count=count)), 0)
        assert applied.returncode == 0, applied.stderr

    async def received_orders(self) -> list[dict[str, Any]]:
        """Return the orders that the platform received, in the order of their arrival."""
        return (await self.log("platform"))["sent"]

    async def wait_received(self, count: int, other_than: str = "") -> list[dict[str, Any]]:
        """Wait until the platform received `count` orders from daemons other than `other_than`."""

        async def arrived() -> list[dict[str, Any]]:
            sent = [
                order for order in await self.received_orders() if not _sent_by(order, other_than)
            ]
            return sent if len(sent) >= count else []

        return await wait_until(
            arrived, f"{count} orders from daemons other than {other_than!r}", 120.0
        )

    async def wait_orders_resolved(self) -> None:
        """Wait until no committed order is unresolved."""

        async def resolved() -> bool:
            result = await self.rules.run("status", "--json")
            return result.returncode == 0 and '"open_orders": []' in result.stdout

        await wait_until(resolved, "all orders to be resolved", 120.0)

    async def stop(self) -> None:
        self.cluster.stop_all()
        for proxy in self.proxy_by_path.values():
            await proxy.stop()


def _sent_by(order: dict[str, Any], daemon: str) -> bool:
    return bool(daemon) and order["sender"].startswith(f"{daemon}/")


def senders_in_order(sent: list[dict[str, Any]]) -> list[str]:
    """
    Return the sender of each run of consecutive orders of one sender.

    A sender that occurs twice sent orders before and after those of another sender.
    """
    senders: list[str] = []
    for order in sent:
        if not senders or senders[-1] != order["sender"]:
            senders.append(order["sender"])
    return senders


def digests_by_order(sent: list[dict[str, Any]]) -> dict[str, set[str]]:
    """Return the digests of the bodies that were received under each order id."""
    digests: dict[str, set[str]] = {}
    for order in sent:
        digests.setdefault(order["order_id"], set()).add(order["digest"])
    return digests


def check_orders(sent: list[dict[str, Any]]) -> None:
    """Check that senders don't overlap, an order id has one content and fencing never decreases."""
    senders = senders_in_order(sent)
    assert len(senders) == len(set(senders)), f"orders of two senders overlap: {senders}"
    for order_id, digests in digests_by_order(sent).items():
        assert len(digests) == 1, f"order {order_id} was sent with different contents"
    fencing = [order["fencing"] for order in sent]
    assert fencing == sorted(fencing), f"fencing numbers decreased: {fencing}"
