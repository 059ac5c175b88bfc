"""Stores that are lost one at a time, also while they take over the data of another one."""

from __future__ import annotations

import json

from integration.platform_system import job, platform_system, status
from integration.processes import wait_until

ITEMS = 4
# A store counts as lost after 3 s of silence, and so does the one that takes over in its place.
REPAIRED_WITHIN_S = 15.0


async def start_store(system, number: int) -> None:
    """Start a store with an empty disk at a new address, and wait until the directory knows it."""
    name = f"store-{number}"
    system.add("store", number, bootstrap=False).start()

    async def known() -> bool:
        code, output = await status(system.peer_seeds(), "--json")
        directory = json.loads(output)["directory"] if code == 0 else {"daemons": ()}
        return name in [daemon["daemon"] for daemon in directory["daemons"]]

    await wait_until(known, f"{name} to be known")


async def wait_voters(system, *numbers: int) -> None:
    """Wait until a leader of the jobs' log has exactly these stores as voters and no learners."""
    addresses = {system.peer_address(f"store-{number}") for number in numbers}

    async def are_voters() -> bool:
        for number in numbers:
            replica = await system.replica_status(f"store-{number}")
            if replica is None or replica["role"] != "leader":
                continue
            voters = {voter["daemon"] for voter in replica["voters"]}
            return voters == addresses and not replica["learners"] and not replica["outgoing"]
        return False

    await wait_until(are_voters, f"stores {numbers} to be the voters", REPAIRED_WITHIN_S)


async def test_a_store_lost_while_it_takes_over_stops_no_later_repair(tmp_path) -> None:
    """
    Guards against accepted jobs that can't be read any more after single losses of stores.

    A store is to be emptied, and the one that takes over its data is lost in that moment. Then two
    of the first stores are lost, each after the loss before has been repaired.
    """
    async with platform_system(tmp_path, entries=1) as system:
        await system.submit("lot1", job(ITEMS))
        read = await system.wait_all_results("lot1", ITEMS)
        await start_store(system, 4)
        system.process_by_name["store-4"].kill()
        code, _ = await system.control("POST", "/v1/Retire.Start/store-1", {"duration_s": 10})
        assert code == 200
        await start_store(system, 5)
        await wait_voters(system, 2, 3, 5)

        system.process_by_name["store-1"].kill()
        for lost, new, voters in ((2, 6, (3, 5, 6)), (3, 7, (5, 6, 7))):
            system.process_by_name[f"store-{lost}"].kill()
            await start_store(system, new)
            await wait_voters(system, *voters)

        assert await system.wait_all_results("lot1", ITEMS) == read
