"""Runs each policy under each disturbance on emulated engines and trainers of several fleets."""

from __future__ import annotations

import dataclasses
from statistics import mean

from bench._emulated_system import Disturbance, Fleet
from bench._emulator import Emulator, Policy, Result
from bench._report import bar_plot, print_table, spread

SEEDS = (1, 2, 3, 4)
FLEETS = (
    Fleet("one trainer, 5 engines", 5, {"m": 15}, 8),
    Fleet("one trainer, 8 engines", 8, {"m": 15}, 8),
    Fleet("three trainers, 5 engines", 5, {"x": 8, "y": 9, "z": 6}, 4),
    Fleet("two trainers, 5 engines, scored", 5, {"x": 7, "y": 7}, 8, reward_s=0.2),
    Fleet(
        "three trainers, 19 engines of 6 places",
        19,
        {"x": 10, "y": 10, "z": 7},
        8,
        slots=6,
        memory_tokens=27_524,
    ),
)
DISTURBANCES = (
    Disturbance("calm"),
    Disturbance("slow engine", slow_at_s=20.0),
    Disturbance("power lost", power_at_s=41.0),
    Disturbance("two reclaimed", reclaim_at_s=25.0),
)
ALL = Policy("all")
POLICIES = (
    ALL,
    dataclasses.replace(ALL, name="every version everywhere", staggered_loads=False),
    dataclasses.replace(ALL, name="texts not kept", texts_saved=False),
    dataclasses.replace(ALL, name="no moves", moves=False),
    dataclasses.replace(ALL, name="by number, not long first", long_first=False),
    dataclasses.replace(ALL, name="memory by the most", memory_by_estimate=False),
)
HEADER = (
    "fleet",
    "trouble",
    "policy",
    "groups in time",
    "steps asked",
    "seconds a step",
    "loads",
)


def emulate(fleet: Fleet, disturbance: Disturbance, policy: Policy) -> list[Result]:
    """Emulate one day for each seed."""
    return [Emulator(fleet, disturbance, policy, seed).run() for seed in SEEDS]


def main() -> None:
    """Print the table, and draw the share of groups in time for the first fleet."""
    rows = []
    plot: dict[str, dict[str, float]] = {}
    for fleet in FLEETS:
        for disturbance in DISTURBANCES:
            for policy in POLICIES:
                results = emulate(fleet, disturbance, policy)
                rows.append(
                    (
                        fleet.name,
                        disturbance.name,
                        policy.name,
                        spread([result.in_time for result in results]),
                        spread([result.submitted for result in results]),
                        spread([result.step_s for result in results]),
                        spread([float(result.loads) for result in results], 0),
                    )
                )
                if fleet is FLEETS[0]:
                    in_time = mean(result.in_time for result in results)
                    plot.setdefault(disturbance.name, {})[policy.name] = in_time
    print_table(HEADER, rows)
    path = bar_plot("emulated-policies", "Groups whole in time, each policy switched off", plot)
    print(f"plot: docs/plots/{path.name}")


if __name__ == "__main__":
    main()
