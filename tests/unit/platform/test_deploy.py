from __future__ import annotations

import tomllib
from pathlib import Path

import pytest

DEPLOY = Path(__file__).resolve().parents[3] / "deploy" / "system.toml"


@pytest.mark.parametrize("machines", [(2, 2, 1), (2, 1, 1, 1)])
def test_control_outlives_as_many_lost_disks_as_the_largest_sites_name(machines) -> None:
    # Two machines of control lose their disks at the same moment, right after a configuration was
    # acknowledged. Where one machine in each of three data centres serves control, the third one
    # is no majority: the configuration is gone, and no change is acknowledged any more.
    losses = 2
    count = tomllib.loads(DEPLOY.read_text())["roles"]["control"]["count"]

    assert sum(min(count, there) for there in machines) >= 2 * losses + 1
