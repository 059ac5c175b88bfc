"""Platform orders through the death, the freeze and the partition of the leader."""

from __future__ import annotations

import asyncio

from integration.duties_system import DutiesSystem, check_orders
from integration.processes import wait_until
from integration.proxy import Mode

COUNT = 12


async def test_a_leader_killed_in_the_middle_of_an_order(tmp_path) -> None:
    # A leader starts endpoints and dies by kill -9 while the platform works on an order. The order
    # may have been carried out. A successor that knew nothing of it would pay for an endpoint
    # nobody uses or start one twice; one that sent it anew under another id as well.
    system = await DutiesSystem.found(tmp_path)
    try:
        await system.fault("platform", delay_s=0.4)
        dead = await system.rules.leader()
        await system.place(COUNT)
        await system.wait_sent(3)
        system.cluster.process_by_name[dead].kill()

        await system.wait_sent(1, but=dead)
        await wait_until(lambda: _all_started(system), "all endpoints to be started", 60.0)
        await system.wait_no_open_orders()

        log = await system.log("platform")
        check_orders(log["sent"])
        assert len(log["started"]) == COUNT
        assert len({order["order_id"] for order in log["started"]}) == COUNT
    finally:
        await system.stop()


async def test_a_leader_frozen_past_its_lease_with_orders_about_to_go(tmp_path) -> None:
    # A leader has committed an order and is about to send it, its connection is being made, when
    # its VM freezes. The connection comes about, the successor gives orders, the old leader thaws:
    # the order must not reach the platform next to the successor's.
    system = await DutiesSystem.found(tmp_path)
    try:
        old = await system.rules.leader()
        path = system.proxy_by_path[(old, "platform")]
        await path.shut()
        await system.place(COUNT)
        await wait_until(lambda: _has_open_order(system), "an order about to go")
        system.cluster.process_by_name[old].freeze()
        await path.reopen()
        await system.wait_sent(2, but=old)
        system.cluster.process_by_name[old].thaw()

        await system.wait_no_open_orders()
        await wait_until(lambda: _all_started(system), "all endpoints to be started", 120.0)

        log = await system.log("platform")
        check_orders(log["sent"])
        assert len({order["order_id"] for order in log["started"]}) == COUNT
    finally:
        await system.stop()


async def test_a_leader_cut_off_with_bytes_already_written(tmp_path) -> None:
    # A partition closes around the leader after it wrote an order to its socket. Its successor
    # gives orders. The partition heals and TCP would retransmit the old order next to the new ones.
    system = await DutiesSystem.found(tmp_path)
    try:
        await system.fault("platform", delay_s=0.4)
        old = await system.rules.leader()
        await system.place(COUNT)
        await system.wait_sent(2)
        await _hold_next_order(system, old)
        await system.cut_off(old)
        await system.wait_sent(2, but=old)
        await system.heal(old)

        await system.wait_no_open_orders()
        await wait_until(lambda: _all_started(system), "all endpoints to be started", 120.0)
        await asyncio.sleep(1.0)

        log = await system.log("platform")
        check_orders(log["sent"])
        assert len({order["order_id"] for order in log["started"]}) == COUNT
    finally:
        await system.stop()


async def _has_open_order(system: DutiesSystem) -> bool:
    return bool((await system.rules.ask("status"))["open_orders"])


async def _hold_next_order(system: DutiesSystem, leader: str) -> None:
    """Let the leader write an order that does not arrive yet."""
    path = system.proxy_by_path[(leader, "platform")]
    await path.set_modes(Mode.HOLD, Mode.PASS)
    accepted = path.accepted
    await wait_until(lambda: path.accepted > accepted, "the next order's connection")
    await wait_until(lambda: any(link.holds for link in path.links), "its bytes")


async def _all_started(system: DutiesSystem) -> bool:
    return len((await system.log("platform"))["started"]) >= COUNT
