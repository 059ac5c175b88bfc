"""How callers fare under load, each policy against the plain baseline, in one run."""

from __future__ import annotations

from statistics import mean

from bench._patterns import DEPLOYMENTS, PATTERNS, Deployment, Pattern
from bench._report import bar_plot, print_table, spread
from bench._serving import BASELINE, POLICIES, WHOLE, Outcome, Policy, Serving

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
    """One replay a seed."""
    return [Serving.from_seed(deployment, pattern, policy, SPAN_S, seed).run() for seed in SEEDS]


def hot_account(deployment: Deployment, pattern: Pattern) -> str | None:
    """The account that causes the pattern is not among those that must not suffer."""
    if pattern.hot is None:
        return None
    return list(deployment.share_by_client_account)[pattern.hot]


def row(
    deployment: Deployment, pattern: Pattern, policy: Policy, outcomes: list[Outcome]
) -> tuple[str, ...]:
    """Figures over the seeds."""
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
    """Print a table for each deployment and draw the worst account's share."""
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
                if policy in (BASELINE, WHOLE):
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
