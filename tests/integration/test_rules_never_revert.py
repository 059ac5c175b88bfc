"""Accepted rules stay in force through restarts, snapshots and changes of leader."""

from __future__ import annotations

import json
from pathlib import Path

from ibisspring_core.control_client import ControlClient
from ibisspring_core.messages.commands import ApplyRules, RulesApplied
from ibisspring_core.request_ids import new_request_id
from integration.rules_system import ASKED, RulesSystem, rules_text

VERSIONS = 30
SNAPSHOT_EVERY = 10
LONG_S = 60.0


async def test_accepted_rules_never_revert(tmp_path) -> None:
    """
    Thirty files are accepted one after the other while the leader is killed, all control daemons
    are killed at once, and an entry is killed; the log is compacted into snapshots on the way.

    An older file coming back into force anywhere would give a withdrawn key its power again.
    """
    system = RulesSystem.from_counts(tmp_path, 3, 2, snapshot_every=SNAPSHOT_EVERY)
    listens = [option.removeprefix("--control=") for option in system.options]
    client = ControlClient({listen: listen for listen in listens})
    try:
        await system.found()
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
            text = rules_text(f"timeout archive-app {version} s {ASKED}")
            command = ApplyRules(version - 1, text, "ana")

            applied = await client.propose(command, new_request_id(), total_s=LONG_S)

            assert applied == RulesApplied(version)
        await system.cluster.wait_ready("e1")
        shown = await system.ask("rules", "show")
        assert (shown["version"], shown["text"]) == (VERSIONS, text)
        _check_only_rises(_in_force(tmp_path, "e2"))
        # The restarted entry has forgotten what it held: its first view counts as well.
        _check_only_rises(_in_force(tmp_path, "e1"))
    finally:
        await client.stop()
        system.stop_all()


def _messages(folder: Path, daemon: str) -> list[dict]:
    lines = (folder / daemon / "log.jsonl").read_text().splitlines()
    return [json.loads(line) for line in lines]


def _in_force(folder: Path, daemon: str) -> list[tuple[int, int]]:
    """Version and log index of the rules that an entry acted on, one after the other."""
    return [
        (message["version"], message["index"])
        for message in _messages(folder, daemon)
        if message.get("message_type") == "lease:rules_in_force"
    ]


def _check_only_rises(in_force: list[tuple[int, int]]) -> None:
    assert in_force[-1][0] == VERSIONS
    for earlier, later in zip(in_force, in_force[1:], strict=False):
        assert later >= earlier, f"{later} came into force after {earlier}"
