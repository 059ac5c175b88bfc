"""Five control VMs as processes: what a majority of them carries."""

from __future__ import annotations

import aiohttp

from integration.processes import http_answers, wait_until
from integration.rules_system import ASKED, KEY, RulesSystem, rules_text

NO_LEADER = 3
UNKNOWN = 4


def _text(version: int) -> str:
    return rules_text(f"timeout archive-app {version} s {ASKED}")


async def _lookup(system: RulesSystem) -> tuple[int, dict]:
    url = f"{system.cluster.url('e1')}/v1/services/archive-app/certificates/1"
    headers = {"Authorization": f"Bearer {KEY}"}
    async with aiohttp.ClientSession() as session, session.get(url, headers=headers) as response:
        return response.status, await response.json()


async def test_five_control_vms_outlast_two_and_stop_without_a_majority(tmp_path) -> None:
    """
    Two of five control VMs are lost at once, the leader among them, then a third.

    With three left an operator's change is accepted; with two left nothing is, the entry lets its
    lease lapse and refuses truthfully. One comes back, and all that was accepted is there. Cause:
    a majority counted over those that answer, not over all members.
    """
    system = RulesSystem.from_counts(tmp_path, controls=5, entries=1)
    processes = system.cluster.process_by_name
    try:
        await system.found()
        assert (await system.apply(_text(1), 0)).returncode == 0
        leader = await system.leader()
        others = [name for name in sorted(processes) if name.startswith("c") and name != leader]

        for lost in (leader, others[0]):
            processes[lost].kill()
        await system.leader(but=leader)
        applied = await system.apply(_text(2), 1)
        assert applied.returncode == 0, applied.stderr

        processes[others[1]].kill()
        refused = await system.apply(_text(3), 2)
        assert refused.returncode in (NO_LEADER, UNKNOWN), refused.stdout

        async def lapsed() -> bool:
            return not await http_answers(f"{system.cluster.url('e1')}/readyz")

        await wait_until(lapsed, "the entry's lease to lapse")
        status, answer = await _lookup(system)
        assert (status, answer["error"]["reason"]) == (503, "lease_lapsed")
        assert answer["error"]["not_run"]

        system.cluster.start(leader)
        await system.cluster.wait_ready("e1")
        shown = await system.ask("rules", "show")
        # The change that got no answer may have been committed later, never half.
        assert (shown["version"], shown["text"]) in ((2, _text(2)), (3, _text(3)))
    finally:
        system.stop_all()
