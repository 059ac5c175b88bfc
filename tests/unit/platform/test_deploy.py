from __future__ import annotations

import math
import tomllib
from pathlib import Path

import pytest

from ibisspring_core.settings.policy import LoadPolicy, parse_policy
from ibisspring_platform.settings import POLICY_VARIABLE

DEPLOY = Path(__file__).resolve().parents[3] / "deploy" / "system.toml"


def read_roles() -> dict:
    return tomllib.loads(DEPLOY.read_text())["roles"]


@pytest.mark.parametrize("machines", [(2, 2, 1), (2, 1, 1, 1)])
def test_control_keeps_a_majority_after_the_loss_of_two_disks(machines) -> None:
    # Two machines with control daemons lose their disks at the same moment, right after a
    # configuration was acknowledged. If only one machine in each of three data centres ran a
    # control daemon, the remaining daemon would be no majority: the configuration would be
    # permanently lost, and no further change would be acknowledged.
    losses = 2
    count = read_roles()["control"]["count"]

    assert sum(min(count, machine_count) for machine_count in machines) >= 2 * losses + 1


def count_stores(machines: tuple[int, ...]) -> int:
    """Return the number of store daemons, given the number of machines in each data centre."""
    share = read_roles()["store"]["share"]
    return sum(math.ceil(share * machine_count) for machine_count in machines)


@pytest.mark.parametrize(
    ("losses", "machines"),
    [(1, (1, 1, 1)), (2, (4, 5, 4)), (2, (4, 4, 3, 3)), (2, (6, 6, 6, 6, 6))],
)
def test_store_majority_survives_disk_losses_while_one_store_is_retired(losses, machines) -> None:
    # One store is retired while as many other stores as the deployment must tolerate lose their
    # disks. A majority of the stores must remain.
    assert count_stores(machines) >= min(2 * losses + 2, sum(machines))


def test_added_store_can_replace_a_retired_one() -> None:
    # With one store in each data centre, the jobs log has no spare member: a store that is retired
    # may leave the log only after an added store has replaced it. More machines must therefore give
    # more stores.
    assert count_stores((2, 1, 1)) > count_stores((1, 1, 1))


def test_all_roles_have_the_same_valid_policy() -> None:
    # With different policies, runners would state sizes that the jobs' leader does not use, and an
    # unknown switch would prevent the start of every daemon.
    texts = {role["env"][POLICY_VARIABLE] for role in read_roles().values()}

    assert len(texts) == 1
    assert isinstance(parse_policy(texts.pop(), POLICY_VARIABLE), LoadPolicy)
