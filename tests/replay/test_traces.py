"""Replays the recorded traces of both deployments and compares their outcomes."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from replay.player import Player

from integration.training_system import TrainingSystem

TRACES = Path(__file__).parent / "traces"


@pytest.mark.parametrize("name", sorted(path.name for path in TRACES.iterdir()))
async def test_trace_has_the_expected_outcome(name: str, tmp_path: Path) -> None:
    folder = TRACES / name
    system = TrainingSystem.from_counts(tmp_path, load_timeout_s=2.0)
    try:
        await system.start((folder / "rules.txt").read_text())
        player = Player(system, folder)
        await player.play()
        outcome = await player.outcome()
    finally:
        system.stop_all()

    assert outcome == json.loads((folder / "outcome.json").read_text())
