"""Served shares, late answers and waits under load, for each policy and a baseline."""

from __future__ import annotations

from statistics import mean

from bench._patterns import DEPLOYMENTS, PATTERNS, Deployment, Pattern
from bench._report import bar_plot, print_table, spread
from bench._serving import BASELINE, FULL_POLICY, POLICIES, Outcome, Policy, ServingReplay

SEEDS = (1, 2, 3, 4, 5)
SPAN_S = 60.0
HEADER = (
    "pattern",
    "policy",
    "worst account's served share",
    "served share",
    "late answers",
    "endpoint time spent on late answers",
    "95% wait, s",
)


def replay(deployment: Deployment, pattern: Pattern, policy: Policy) -> list[Outcome]:
    """Run one replay for each seed."""
    return [
        ServingReplay.from_seed(deployment, pattern, policy, SPAN_S, seed).run() for seed in SEEDS
    ]


def hot_account(deployment: Deployment, pattern: Pattern) -> str | None:
    """Return the overloading account, which the worst served share leaves out; None for none."""
    if pattern.hot is None:
        return None
    return list(deployment.share_by_client_account)[pattern.hot]


def row(
    deployment: Deployment, pattern: Pattern, policy: Policy, outcomes: list[Outcome]
) -> tuple[str, ...]:
    """Return a table row with the mean and range of each figure over the seeds."""
    hot = hot_account(deployment, pattern)
    wasted = [outcome.wasted_s / max(outcome.worked_s, 1e-9) for outcome in outcomes]
    return (
        pattern.name,
        policy.name,
        spread([outcome.worst_share(hot) for outcome in outcomes]),
        spread([outcome.served_share() for outcome in outcomes]),
        spread([float(outcome.late) for outcome in outcomes], 0),
        spread(wasted),
        spread([outcome.wait_95_s() for outcome in outcomes]),
    )


def main() -> None:
    """Print the table of the first deployment and draw the worst account's share."""
    for deployment in DEPLOYMENTS[:1]:
        print(
            f"{deployment.name}: {len(SEEDS)} seeds, {SPAN_S:.0f} s of load; mean (least to most)"
        )
        rows = []
        plot: dict[str, dict[str, float]] = {}
        for pattern in PATTERNS:
            plot[pattern.name] = {}
            for policy in POLICIES:
                outcomes = replay(deployment, pattern, policy)
                rows.append(row(deployment, pattern, policy, outcomes))
                if policy in (BASELINE, FULL_POLICY):
                    hot = hot_account(deployment, pattern)
                    shares = [outcome.worst_share(hot) for outcome in outcomes]
                    plot[pattern.name][policy.name] = mean(shares)
        print_table(HEADER, rows)
        path = bar_plot(
            f"serving-{deployment.name}", "Served share of the worst-served client account", plot
        )
        print(f"plot: docs/plots/{path.name}")


if __name__ == "__main__":
    main()
