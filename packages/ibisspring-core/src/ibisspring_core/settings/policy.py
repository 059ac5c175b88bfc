"""
Which optional decisions about load a deployment switches on, and its limits of cost.

All are off by default, so that a deployment that states no policy is served as before.
"""

from __future__ import annotations

from dataclasses import dataclass, fields, replace

from ibisspring_core.errors import Finding


@dataclass(frozen=True)
class LoadPolicy:
    """
    The optional decisions that are in force.

    :param admission: jobs that cannot be met before their trainers give up are rejected.
    :param shares: client accounts share the engines by weight while these cannot run all groups in
        time, and groups that can be whole in time start first.
    :param preemption: a run gives up its slot if that saves the due time of another job.
    :param speeds: items are placed by the predicted end on engines of different speeds.
    :param sizes: the runs and requests of an entry follow the size of its VM.
    :param hedging: the delay of a hedged attempt follows recent durations.
    :param most_engines: largest number of engines of each service that are ordered; 0 for no limit.
    :param most_price: largest price per second of the engines of each service that are ordered; 0
        for no limit.
    """

    admission: bool = False
    shares: bool = False
    preemption: bool = False
    speeds: bool = False
    sizes: bool = False
    hedging: bool = False
    most_engines: int = 0
    most_price: float = 0.0


SWITCHES = tuple(field.name for field in fields(LoadPolicy) if field.type == "bool")


def parse_policy(text: str, place: str) -> LoadPolicy | tuple[Finding, ...]:
    """
    Parse a policy such as `admission, shares, most_engines=40`.

    :param text: names of switches and assignments of limits, separated by commas; may be empty.
    :param place: name of the setting, for the findings.
    :return: the policy, or all faults of the text.
    """
    policy = LoadPolicy()
    findings: list[Finding] = []
    for part in text.split(","):
        name, assigned, value = (piece.strip() for piece in part.partition("="))
        if not name and not assigned:
            continue
        if name in SWITCHES and not assigned:
            policy = replace(policy, **{name: True})
        elif name == "most_engines" and value.isdecimal():
            policy = replace(policy, most_engines=int(value))
        elif name == "most_price" and _is_price(value):
            policy = replace(policy, most_price=float(value))
        else:
            known = ", ".join((*SWITCHES, "most_engines=N", "most_price=X"))
            findings.append(Finding(place, 0, 0, f"{part.strip()!r} is not one of {known}"))
    return tuple(findings) or policy


def _is_price(value: str) -> bool:
    return value.replace(".", "", 1).isdecimal()


__all__ = ["LoadPolicy", "SWITCHES", "parse_policy"]
