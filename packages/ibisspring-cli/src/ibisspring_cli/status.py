"""`ibisspring status`: shows an overview of the system."""

from __future__ import annotations

import click

from ibisspring_cli.endpoints import endpoint_lines
from ibisspring_cli.options import Options, split_addresses, with_options
from ibisspring_cli.session import read, show
from ibisspring_cli.system_status import show_system


@click.command()
@click.option(
    "--seeds",
    "seeds",
    multiple=True,
    envvar="IBISSPRING_SEEDS",
    help="Peer IP:port of control daemons in a system with seeds; one running daemon is enough.",
)
@with_options
def status(options: Options, seeds: tuple[str, ...]) -> None:
    """
    Show the leader, entries, endpoints and trainers.

    Each entry is shown with the version of its rules and the remaining time of its lease.

    With --seeds (or IBISSPRING_SEEDS) show a system whose daemons discover each other through seed
    addresses: route table, duties and their holders, stores, jobs and runners.
    """
    if seeds:
        show_system(options, split_addresses(seeds))
        return
    answer = read(options, "status")
    show(options, answer, _status_lines(answer))


def _status_lines(answer: dict) -> list[str]:
    lines = [
        f"leader {answer['leader']} in term {answer['term']}, "
        f"rules version {answer['rules_version']}, log index {answer['applied_index']}"
    ]
    lines += ["", f"entries ({len(answer['entries'])})"]
    for entry in answer["entries"]:
        behind = "" if entry["view_index"] >= answer["view_index"] else "  (behind)"
        lines.append(
            f"  {entry['daemon']:<18} {entry['data_centre']:<12} "
            f"rules version {entry['rules_version']}, lease {entry['lease_left_s']} s{behind}"
        )
    lines += ["", f"endpoints ({len(answer['endpoints'])})"]
    lines += [f"  {line}" for line in endpoint_lines(answer["endpoints"])]
    lines += ["", f"trainers ({len(answer['trainers'])})"]
    for trainer in answer["trainers"]:
        step = "no step" if trainer["step"] is None else f"step {trainer['step']}"
        lines.append(
            f"  {trainer['trainer']:<18} version {trainer['version']}, {step} "
            f"{trainer['step_state']}".rstrip()
        )
    if answer["draining"]:
        lines += ["", f"draining: {', '.join(answer['draining'])}"]
    if answer["open_orders"]:
        lines += ["", f"open orders: {', '.join(answer['open_orders'])}"]
    return lines


__all__ = ["status"]
