"""Rules from the operator's file to the entries, with real processes."""

from __future__ import annotations

from integration.rules_system import RulesSystem, rules_text


async def test_an_applied_file_is_in_force_on_every_entry(tmp_path) -> None:
    system = RulesSystem.from_counts(tmp_path, controls=3, entries=2)
    try:
        await system.bootstrap()

        applied = await system.apply(rules_text(), 0)

        assert applied.returncode == 0, applied.stderr
        status = await system.run_json("status")
        versions = {entry["daemon"]: entry["rules_version"] for entry in status["entries"]}
        assert versions == {"e1": 1, "e2": 1}
        assert (await system.run_json("rules", "show"))["text"] == rules_text()
        assert (await system.run_json("key", "list"))["keys"][0]["client_account"] == "forge"
        assert (await system.run_json("usage", "show"))["closed_through"] >= -1
        drained = await system.run("endpoint", "drain", "engine-1")
        assert drained.returncode == 0, drained.stderr
        assert (await system.run_json("status"))["draining"] == ["engine-1"]
    finally:
        system.stop_all()
