"""Real control daemons whose leader is killed while it commits an operator's change."""

from __future__ import annotations

import asyncio
import random

from ibisspring_core.control_client import ControlClient
from ibisspring_core.messages.commands import ApplyRules, RulesApplied
from ibisspring_core.request_ids import new_request_id
from integration.rules_system import RULE_COMMENT, RulesSystem, rules_text

SEED = 4
ROUNDS = 6
MAX_KILL_DELAY_S = 0.06
PROPOSAL_TIMEOUT_S = 60.0


async def test_leader_killed_in_the_middle_of_an_apply(tmp_path) -> None:
    """
    Guards against a resent command that conflicts with itself, and against lost accepted rules.

    The leader is killed with SIGKILL at a random moment while it commits a rules file; the client
    resends the command under the same request id to the next leader. The first failure occurs if a
    committed command is applied a second time, the second if the leader answers before a majority
    has stored the command.
    """
    system = RulesSystem.from_counts(tmp_path, 3, 1, snapshot_every=5)
    control_addresses = [option.removeprefix("--control=") for option in system.options]
    client = ControlClient({listen: listen for listen in control_addresses})
    delays = random.Random(SEED)
    try:
        await system.bootstrap()
        for version in range(1, ROUNDS + 1):
            leader = await system.leader()
            text = rules_text(f"timeout archive-app {version} s {RULE_COMMENT}")
            command = ApplyRules(version - 1, text, "ana")
            proposal = client.propose(command, new_request_id(), total_s=PROPOSAL_TIMEOUT_S)
            applying = asyncio.create_task(proposal)
            await asyncio.sleep(delays.random() * MAX_KILL_DELAY_S)
            system.cluster.process_by_name[leader].kill()
            applied = await applying
            assert applied == RulesApplied(version), f"seed {SEED}, round {version}"
            system.cluster.start(leader)
        shown = await system.run_json("rules", "show")
        assert (shown["version"], shown["text"]) == (ROUNDS, text)
    finally:
        await client.stop()
        system.stop_all()
