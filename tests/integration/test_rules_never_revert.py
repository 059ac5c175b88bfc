"""Accepted rules stay in force through restarts, snapshots and changes of leader."""

from __future__ import annotations

import json
from pathlib import Path

from ibisspring_core.control_client import ControlClient
from ibisspring_core.messages.commands import ApplyRules, RulesApplied
from ibisspring_core.request_ids import new_request_id
from integration.rules_system import RULE_COMMENT, RulesSystem, rules_text

VERSIONS = 30
SNAPSHOT_EVERY = 10
PROPOSAL_TIMEOUT_S = 60.0


async def test_accepted_rules_never_revert(tmp_path) -> None:
    """
    Guards against older rules that come into force again, which would restore a withdrawn key.

    Thirty files are accepted one after the other. Meanwhile the leader is killed, then all control
    daemons at once, then an entry, and the log is compacted into snapshots.
    """
    system = RulesSystem.from_counts(tmp_path, 3, 2, snapshot_every=SNAPSHOT_EVERY)
    control_addresses = [option.removeprefix("--control=") for option in system.options]
    client = ControlClient({listen: listen for listen in control_addresses})
    try:
        await system.bootstrap()
        for version in range(1, VERSIONS + 1):
            if version == 9:
                leader = await system.leader()
                system.cluster.process_by_name[leader].kill()
                system.cluster.start(leader)
            if version == 17:
                for daemon in ("c1", "c2", "c3"):
                    system.cluster.process_by_name[daemon].kill()
                for daemon in ("c1", "c2", "c3"):
                    system.cluster.start(daemon)
            if version == 25:
                system.cluster.process_by_name["e1"].kill()
                system.cluster.start("e1")
            text = rules_text(f"timeout archive-app {version} s {RULE_COMMENT}")
            command = ApplyRules(version - 1, text, "ana")

            applied = await client.propose(command, new_request_id(), total_s=PROPOSAL_TIMEOUT_S)

            assert applied == RulesApplied(version)
        await system.cluster.wait_ready("e1")
        shown = await system.run_json("rules", "show")
        assert (shown["version"], shown["text"]) == (VERSIONS, text)
        _check_never_decreases(_in_force(tmp_path, "e2"))
        # The restarted entry has lost its state; its first view after the restart is checked too.
        _check_never_decreases(_in_force(tmp_path, "e1"))
    finally:
        await client.stop()
        system.stop_all()


def _log_messages(folder: Path, daemon: str) -> list[dict]:
    lines = (folder / daemon / "log.jsonl").read_text().splitlines()
    return [json.loads(line) for line in lines]


def _in_force(folder: Path, daemon: str) -> list[tuple[int, int]]:
    """Return version and log index of the rules that an entry applied, in the order of its log."""
    return [
        (message["version"], message["index"])
        for message in _log_messages(folder, daemon)
        if message.get("message_type") == "lease:rules_in_force"
    ]


def _check_never_decreases(in_force: list[tuple[int, int]]) -> None:
    assert in_force[-1][0] == VERSIONS
    for earlier, later in zip(in_force, in_force[1:], strict=False):
        assert later >= earlier, f"{later} came into force after {earlier}"
