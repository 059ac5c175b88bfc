"""
A daemon finds control again through the seeds that its settings file currently lists.

While an entry, a store and a control daemon are frozen, all control VMs that they know are replaced
one after the other by VMs at other addresses, and the settings files list the new addresses. The
file used to be read only at the start, and SIGHUP was logged (`daemon:reload_ignored`) and ignored,
so that the three daemons kept calling addresses that no longer existed and logged
`directory_view:no_leader` every 3 s without end. The entry refused all callers 20 s after its last
update, and a changed configuration never came into force there.
"""

from __future__ import annotations

import json
import signal

import pytest

from integration.platform_system import LOOKUP, configuration, platform_system, request
from integration.processes import wait_until

NEW_KEY = "k2"
IN_FORCE_S = 15.0


@pytest.fixture
async def system(tmp_path):
    async with platform_system(tmp_path) as system:
        yield system


async def voters(system) -> set[str]:
    """Return the addresses of control's voters; empty without a leader or during a change."""
    for name, process in system.process_by_name.items():
        if not name.startswith("control") or not process.alive():
            continue
        status = await system.replica_status(name)
        if status is None or status["role"] != "leader":
            continue
        if status["outgoing"] or status["learners"]:
            return set()
        return {voter["daemon"] for voter in status["voters"]}
    return set()


async def replace_control(system, old: str, number: int) -> None:
    """Kill a control VM permanently and start an empty one at another address."""
    system.process_by_name[old].kill()
    name = f"control-{number}"
    system.add("control", number, bootstrap=False).start()
    await wait_replaced(system, name, old)


async def wait_replaced(system, name: str, old: str) -> None:
    """Wait until control daemon `name` is a voter and `old` no longer is."""
    new_ip, old_ip = (system.boot_by_name[one]["ip"] for one in (name, old))

    async def replaced() -> bool:
        ips = {address.partition(":")[0] for address in await voters(system)}
        return new_ip in ips and old_ip not in ips

    await wait_until(replaced, f"{name} to replace {old} as a voter")


@pytest.mark.parametrize("signalled", [True, False])
async def test_a_daemon_finds_control_by_its_present_seeds(system, signalled) -> None:
    frozen = [system.process_by_name[name] for name in ("entry-1", "store-1", "control-3")]
    for process in frozen:
        process.freeze()
    system.add("control", 4, bootstrap=False).start()
    await wait_replaced(system, "control-4", "control-3")
    system.seeds[:] = [f"127.1.1.{n}:{system.ports['control']}" for n in (4, 5, 6)]
    await replace_control(system, "control-1", 5)
    await replace_control(system, "control-2", 6)

    for process in frozen:
        system.write_boot(process.name, seeds=system.seeds)
        process.thaw()
        if signalled:
            process.send(signal.SIGHUP)
    changed = configuration(2)
    changed["tenants"][0]["api_keys"].append(NEW_KEY)
    assert await system.put(2, tenants=changed["tenants"]) == 200

    async def in_force() -> bool:
        path = f"{LOOKUP}7"
        return (await system.call("POST", path, "x", None, entry=1, key=NEW_KEY))[0] == 200

    await wait_until(in_force, "the change to be in force at the entry", IN_FORCE_S)

    async def forwarded() -> bool:
        address = system.boot_by_name["control-3"]["listen"]["control"]
        status, document = await request("GET", f"http://{address}/v1/Config.Read", b"")
        return status == 200 and json.loads(document) == changed

    await wait_until(forwarded, "the replaced daemon to forward an operator's call", IN_FORCE_S)

    def store_received() -> bool:
        log = system.process_by_name["store-1"].log.read_text(errors="replace")
        return '"version":2' in log.replace(" ", "")

    await wait_until(store_received, "the store to receive the change", IN_FORCE_S)
