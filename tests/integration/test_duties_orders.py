"""Platform orders through the death, the freeze and the partition of the leader."""

from __future__ import annotations

import asyncio

from integration.duties_system import DutiesSystem, check_orders
from integration.processes import wait_until

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
    # A leader is in the middle of a row of orders when its VM freezes. Its successor goes on. The
    # old leader thaws and believes for a moment that it is in charge; what it was about to send
    # must not reach the platform any more.
    system = await DutiesSystem.found(tmp_path)
    try:
        await system.fault("platform", delay_s=0.4)
        old = await system.rules.leader()
        await system.place(COUNT)
        await system.wait_sent(2)
        system.cluster.process_by_name[old].freeze()
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


async def _all_started(system: DutiesSystem) -> bool:
    return len((await system.log("platform"))["started"]) >= COUNT
