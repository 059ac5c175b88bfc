"""
Measures the replicated state machine: processor time per command, bytes and time per snapshot.

Uses no network and no disk, so that the figures are the costs of a replica apart from its log.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from typing import Any

import msgspec

from bench._report import print_table
from ibisspring_control.state import StateMachine
from ibisspring_core.messages.codec import encode
from ibisspring_core.messages.commands import (
    COMMANDS,
    AddUsage,
    ApplyRules,
    ClaimKey,
    DeliverBatch,
    Envelope,
    OpenStep,
    OrderIntent,
    SampleLabel,
    SettleClaim,
    UsageRecord,
)
from ibisspring_core.request_ids import new_request_id

NOW_S = 1_800_000_000.0
COUNT = 20_000
SAMPLES = 4_096
DAEMONS = 380
ACCOUNTS = 200
ASKED = "# asked: bench, none"


def _rules(accounts: int) -> str:
    lines = [
        f"client_account a{number} key sha256:{number:064x} rate 40/s weight 1 {ASKED}"
        for number in range(accounts)
    ]
    lines += [
        f"trainer t client_account a0 {ASKED}",
        f"staleness trainer t 2 versions {ASKED}",
        f"share m trainer t {ASKED}",
    ]
    return "\n".join(lines)


class _Replica:
    def __init__(self) -> None:
        self.state = StateMachine.empty()
        self.index = 0

    def apply(self, command: Any) -> float:
        """Apply one command; returns the processor time in seconds."""
        self.index += 1
        raw = msgspec.Raw(COMMANDS.encode(command))
        data = encode(Envelope(new_request_id(), time.time(), raw))
        start = time.process_time()
        self.state.apply(self.index, data)
        return time.process_time() - start

    def apply_many(self, count: int, make: Callable[[int], Any]) -> float:
        """Apply `count` commands; returns the mean microseconds of processor time of one."""
        return sum(self.apply(make(number)) for number in range(count)) / count * 1e6


def _claim(number: int) -> ClaimKey:
    return ClaimKey("a0", f"key-{number}", "d" * 32, f"r{number}", f"e{number % DAEMONS}", 1)


def _settle(number: int) -> SettleClaim:
    body = b"x" * 200
    return SettleClaim("a0", f"key-{number}", f"r{number}", "done", 200, body, "text/json", True)


def _usage(number: int) -> AddUsage:
    records = tuple(UsageRecord(f"a{account}", "m", 10, 1, 0.1) for account in range(4))
    return AddUsage(f"e{number % DAEMONS}", 1, number // DAEMONS + 1, number // 10_000, records)


def _deliver(step: int) -> DeliverBatch:
    labels = tuple(SampleLabel(f"t/{step}/1/{at}", "d" * 32, 0) for at in range(SAMPLES))
    return DeliverBatch("t", step, 1, f"b{step}", labels)


def main() -> None:
    """Run the benchmark and print its tables."""
    replica = _Replica()
    text = _rules(ACCOUNTS)
    rows = [
        (f"ApplyRules, {ACCOUNTS} accounts", f"{replica.apply(ApplyRules(0, text, 'b')) * 1e6:.0f}")
    ]
    for name, make in (
        ("ClaimKey", _claim),
        ("SettleClaim, 200 bytes", _settle),
        ("AddUsage, 4 records", _usage),
        ("OrderIntent", lambda number: OrderIntent(f"o{number}", "platform", b"{}" * 50)),
    ):
        rows.append((name, f"{replica.apply_many(COUNT, make):.1f}"))
    steps_us = 0.0
    for step in range(1, 9):
        replica.apply(OpenStep("t", step, "m", "d", SAMPLES, "e1", 1))
        steps_us += replica.apply(_deliver(step)) * 1e6
    rows.append((f"DeliverBatch, {SAMPLES} samples", f"{steps_us / 8:.0f}"))
    print_table(("command", "processor us"), rows)
    print()
    _print_snapshot(replica)


def _print_snapshot(replica: _Replica) -> None:
    start = time.process_time()
    data = replica.state.snapshot()
    encoded_s = time.process_time() - start
    start = time.process_time()
    replica.state.restore(data)
    restored_s = time.process_time() - start
    contents = f"{COUNT} claims, {COUNT} orders, 8 steps of {SAMPLES}, {ACCOUNTS} accounts"
    print_table(
        ("snapshot of", "MB", "encode ms", "restore ms"),
        [(contents, f"{len(data) / 1e6:.1f}", f"{encoded_s * 1e3:.0f}", f"{restored_s * 1e3:.0f}")],
    )


if __name__ == "__main__":
    sys.exit(main())
