"""Orders to the platform while the leader is killed, frozen or partitioned."""

from __future__ import annotations

import asyncio

from integration.duties_system import DutiesSystem, check_orders
from integration.processes import wait_until
from integration.proxy import Mode

ENDPOINTS = 12


async def test_a_leader_killed_in_the_middle_of_an_order(tmp_path) -> None:
    # A leader orders endpoint starts and is killed with SIGKILL while the platform processes an
    # order, which may have been executed. If the next leader did not know of the order, or sent it
    # again under another id, an endpoint would be started twice, or paid for without being used.
    system = await DutiesSystem.bootstrap(tmp_path)
    try:
        await system.fault("platform", delay_s=0.4)
        killed = await system.rules.leader()
        await system.apply_placement(ENDPOINTS)
        await system.wait_received(3)
        system.cluster.process_by_name[killed].kill()

        await system.wait_received(1, other_than=killed)
        await wait_until(
            lambda: _all_endpoints_started(system), "all endpoints to be started", 60.0
        )
        await system.wait_orders_resolved()

        log = await system.log("platform")
        check_orders(log["sent"])
        assert len(log["started"]) == ENDPOINTS
        assert len({order["order_id"] for order in log["started"]}) == ENDPOINTS
    finally:
        await system.stop()


async def test_a_leader_frozen_past_its_lease_with_orders_about_to_go(tmp_path) -> None:
    # A leader has committed an order and is opening the connection to send it when its VM freezes.
    # The connection is established, the next leader sends orders, then the old leader continues:
    # its order must not reach the platform beside those of the next leader.
    system = await DutiesSystem.bootstrap(tmp_path)
    try:
        old_leader = await system.rules.leader()
        proxy = system.proxy_by_path[(old_leader, "platform")]
        await proxy.shut()
        await system.apply_placement(ENDPOINTS)
        await wait_until(lambda: _has_open_order(system), "an open order")
        system.cluster.process_by_name[old_leader].freeze()
        await proxy.reopen()
        await system.wait_received(2, other_than=old_leader)
        system.cluster.process_by_name[old_leader].thaw()

        await system.wait_orders_resolved()
        await wait_until(
            lambda: _all_endpoints_started(system), "all endpoints to be started", 120.0
        )

        log = await system.log("platform")
        check_orders(log["sent"])
        assert len({order["order_id"] for order in log["started"]}) == ENDPOINTS
    finally:
        await system.stop()


async def test_a_leader_cut_off_with_bytes_already_written(tmp_path) -> None:
    # A partition isolates the leader after it wrote an order to its socket, and the next leader
    # sends orders. When the partition heals, TCP retransmits the old order beside the new ones.
    system = await DutiesSystem.bootstrap(tmp_path)
    try:
        await system.fault("platform", delay_s=0.4)
        old_leader = await system.rules.leader()
        await system.apply_placement(ENDPOINTS)
        await system.wait_received(2)
        await _hold_next_order(system, old_leader)
        await system.isolate(old_leader)
        await system.wait_received(2, other_than=old_leader)
        await system.heal(old_leader)

        await system.wait_orders_resolved()
        await wait_until(
            lambda: _all_endpoints_started(system), "all endpoints to be started", 120.0
        )
        await asyncio.sleep(1.0)

        log = await system.log("platform")
        check_orders(log["sent"])
        assert len({order["order_id"] for order in log["started"]}) == ENDPOINTS
    finally:
        await system.stop()


async def _has_open_order(system: DutiesSystem) -> bool:
    return bool((await system.rules.run_json("status"))["open_orders"])


async def _hold_next_order(system: DutiesSystem, leader: str) -> None:
    """Wait until the leader has written an order; the proxy holds its bytes back."""
    proxy = system.proxy_by_path[(leader, "platform")]
    await proxy.set_modes(Mode.HOLD, Mode.PASS)
    accepted = proxy.accepted
    await wait_until(lambda: proxy.accepted > accepted, "the next order's connection")
    await wait_until(
        lambda: any(link.holds for link in proxy.links), "the bytes of the order to reach the proxy"
    )


async def _all_endpoints_started(system: DutiesSystem) -> bool:
    return len((await system.log("platform"))["started"]) >= ENDPOINTS
