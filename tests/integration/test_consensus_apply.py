"""Real control daemons whose leader is killed while it takes an operator's change."""

from __future__ import annotations

import asyncio
import random

from ibisspring_core.control_client import ControlClient
from ibisspring_core.messages.commands import ApplyRules, RulesApplied
from ibisspring_core.request_ids import new_request_id
from integration.rules_system import ASKED, RulesSystem, rules_text

SEED = 4
ROUNDS = 6
LONGEST_DELAY_S = 0.06
LONG_S = 60.0


async def test_leader_killed_in_the_middle_of_an_apply(tmp_path) -> None:
    """
    An operator is told of a conflict with himself, or his accepted rules are gone.

    The leader is killed with kill -9 at a drawn moment while it commits a rules file; the command
    is sent again under its request id to the next leader. Cause: a command that was committed once
    and is applied again, or an answer given before a majority had it.
    """
    system = RulesSystem.from_counts(tmp_path, 3, 1, snapshot_every=5)
    listens = [option.removeprefix("--control=") for option in system.options]
    client = ControlClient({listen: listen for listen in listens})
    delays = random.Random(SEED)
    try:
        await system.found()
        for version in range(1, ROUNDS + 1):
            leader = await system.leader()
            text = rules_text(f"timeout archive-app {version} s {ASKED}")
            command = ApplyRules(version - 1, text, "ana")
            proposal = client.propose(command, new_request_id(), total_s=LONG_S)
            applying = asyncio.create_task(proposal)
            await asyncio.sleep(delays.random() * LONGEST_DELAY_S)
            system.cluster.process_by_name[leader].kill()
            applied = await applying
            assert applied == RulesApplied(version), f"seed {SEED}, round {version}"
            system.cluster.start(leader)
        shown = await system.ask("rules", "show")
        assert (shown["version"], shown["text"]) == (ROUNDS, text)
    finally:
        await client.stop()
        system.stop_all()
