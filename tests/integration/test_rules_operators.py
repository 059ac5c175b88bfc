"""Operators who apply different files with the same base, or resend after a lost answer."""

from __future__ import annotations

import asyncio
import json

import pytest

from ibisspring_core.control_client import ControlClient
from ibisspring_core.errors import Refusal
from integration.processes import wait_until
from integration.proxy import FaultProxy, Mode
from integration.rules_system import RULE_COMMENT, RulesSystem, rules_text

EXIT_UNKNOWN = 4
EXIT_CONFLICT = 5


@pytest.fixture
async def system(tmp_path):
    system = RulesSystem.from_counts(tmp_path, controls=3, entries=1)
    try:
        await system.bootstrap()
        yield system
    finally:
        system.stop_all()


async def test_two_operators_with_the_same_base_get_one_success_and_one_conflict(system) -> None:
    """
    Guards against a change that is silently overwritten by another operator's.

    Two operators edit version 0 and apply different files at the same moment. Without the
    compare-and-set in the log, both would receive "accepted" and one change would be lost.
    """
    lines = {name: f"timeout service-of-{name} 2 s {RULE_COMMENT}" for name in ("ana", "bor")}
    results = await asyncio.gather(
        *(
            system.apply(rules_text(line), 0, "--operator", name, "--json")
            for name, line in lines.items()
        )
    )

    assert sorted(result.returncode for result in results) == [0, EXIT_CONFLICT]
    winner, loser = ("ana", "bor") if results[0].returncode == 0 else ("bor", "ana")
    conflict = next(result for result in results if result.returncode == EXIT_CONFLICT)
    error = json.loads(conflict.stdout)["error"]
    assert (error["version"], error["operator"]) == (1, winner)
    assert f"+ {lines[winner]}" in error["changed_lines"]
    shown = await system.run_json("rules", "show")
    assert shown["version"] == 1
    assert lines[winner] in shown["text"] and lines[loser] not in shown["text"]


@pytest.mark.parametrize("leader_dies", [False, True])
async def test_a_resend_after_a_lost_answer_gets_the_first_answer(system, leader_dies) -> None:
    """
    Guards against a resent command that conflicts with the operator's own first one.

    An operator applies a file; the command is committed and its answer is lost. The operator
    resends the file with the request id from the error, in the second case to a new leader after
    the first one was killed. If the command were applied again, or compared with the base again,
    the operator would receive a conflict.
    """
    leader = await system.leader()
    proxy = await FaultProxy.in_front_of(
        system.cluster.settings_by_daemon[leader]["control"]["listen"]
    )
    path = system.folder / "rules.txt"
    path.write_text(rules_text())
    entry = system.cluster.process_by_name["e1"]

    # The answer waits for the frozen entry's lease to lapse, which leaves time to cut the way back.
    entry.freeze()
    arguments = ("rules", "apply", str(path), "--base", "0")
    running = asyncio.to_thread(
        system.run_without_options,
        f"--control={proxy.address}",
        "--timeout=8",
        "--json",
        *arguments,
    )
    applying = asyncio.create_task(running)
    await wait_until(lambda: _version(system), "the commit")
    await proxy.set_modes(Mode.PASS, Mode.SILENT)
    unanswered = await applying
    entry.thaw()
    await proxy.stop()
    assert unanswered.returncode == EXIT_UNKNOWN, unanswered.stdout + unanswered.stderr
    error = json.loads(unanswered.stdout)["error"]
    assert f"--request-id {error['request_id']}" in error["message"]
    if leader_dies:
        system.cluster.process_by_name[leader].kill()
        await system.leader(other_than=leader)

    resent = await system.apply(rules_text(), 0, "--request-id", error["request_id"])
    under_new_id = await system.apply(rules_text(), 0)

    assert resent.returncode == 0, resent.stdout + resent.stderr
    assert under_new_id.returncode == EXIT_CONFLICT
    assert (await system.run_json("rules", "show"))["version"] == 1


async def _version(system: RulesSystem) -> int:
    """Return the rules version in the log, read through a client of its own; 0 if refused."""
    control_addresses = [option.removeprefix("--control=") for option in system.options]
    client = ControlClient({listen: listen for listen in control_addresses})
    answer = await client.read("rules")
    await client.stop()
    return 0 if isinstance(answer, Refusal) else answer["version"]
