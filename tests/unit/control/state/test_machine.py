from __future__ import annotations

from typing import Any

import msgspec
import pytest

from ibisspring_control.state import StateMachine, claims
from ibisspring_control.state.requests import RESEND_WINDOW_S
from ibisspring_control.state.usage import SEQUENCE_RETENTION_S
from ibisspring_core.messages.codec import encode
from ibisspring_core.messages.commands import (
    COMMANDS,
    RESULTS,
    AckStep,
    AddUsage,
    ApplyRules,
    BatchStale,
    ClaimKey,
    CloseWindow,
    DaemonStarted,
    DeliverBatch,
    DrainEndpoint,
    Envelope,
    IntentRecorded,
    OpenStep,
    OrderIntent,
    OrderResolved,
    PublishVersion,
    Refused,
    RulesApplied,
    RulesConflict,
    SampleLabel,
    SettleClaim,
    UsageRecord,
)

NOW_S = 1_800_000_000.0
ASKED = "# asked: training, ticket 121"
RULES = f"""\
client_account forge rate 40/s weight 2 {ASKED}
trainer reader client_account forge {ASKED}
staleness trainer reader 2 versions {ASKED}
share scorer-lm trainer reader {ASKED}
"""


def _request_id(number: int, created_s: float = NOW_S) -> str:
    return f"{int(created_s * 1000):013d}-{number:016x}"


class _Log:
    """A state machine and a log whose entries are applied to it at increasing indexes."""

    def __init__(self) -> None:
        self.state = StateMachine.empty()
        self.entries: list[bytes] = []
        self.now_s = NOW_S

    def apply(self, command: Any, request_id: str | None = None) -> Any:
        index = len(self.entries) + 1
        request_id = _request_id(index, self.now_s) if request_id is None else request_id
        data = encode(Envelope(request_id, self.now_s, msgspec.Raw(COMMANDS.encode(command))))
        self.entries.append(data)
        return RESULTS.decode(self.state.apply(index, data))

    def with_rules(self) -> _Log:
        assert self.apply(ApplyRules(0, RULES, "ana")) == RulesApplied(1)
        return self


@pytest.fixture
def log() -> _Log:
    return _Log().with_rules()


def test_concurrent_applies_with_one_base_conflict_and_the_loser_gets_operator_and_diff(
    log,
) -> None:
    """
    Two operators edit version 1 of the rules at the same time and both apply their file.

    If the second file were accepted although it is not based on version 2, it would silently revert
    the first operator's change.
    """
    added = f"timeout archive-app 2 s {ASKED}\n"
    assert log.apply(ApplyRules(1, RULES + added, "bor")) == RulesApplied(2)

    lost = log.apply(ApplyRules(1, RULES, "cene"))

    assert lost == RulesConflict(2, "bor", (f"+ {added.strip()}",))
    assert log.state.rules.current.text == RULES + added


def test_a_resent_apply_returns_the_first_result_and_changes_nothing() -> None:
    """
    The answer to an apply of rules is lost, so the command line resends the same file.

    Without the stored result of the first apply, the resent one would be refused as a conflict: the
    version that it is based on is outdated by the operator's own change.
    """
    log = _Log()
    first = log.apply(ApplyRules(0, RULES, "ana"), _request_id(1))
    view_index = log.state.view_index

    assert log.apply(ApplyRules(0, RULES, "ana"), _request_id(1)) == first == RulesApplied(1)
    assert log.state.first_index_of(_request_id(1)) == 1
    assert log.state.view_index == view_index
    other = log.apply(ApplyRules(1, RULES + "\n", "ana"), _request_id(1))
    assert isinstance(other, Refused) and other.reason == "conflict"


def test_a_resend_after_its_result_was_removed_is_refused_not_applied_again() -> None:
    """
    A command is resent after its stored result was removed, and once more after a change to a
    leader whose clock is ten minutes behind.

    If the resent command were applied, it would drain an endpoint whose drain the operator has
    cancelled since.
    """
    log = _Log()
    drain = DrainEndpoint("engine-1", "ana")
    log.apply(drain, _request_id(1))
    log.apply(DrainEndpoint("engine-1", "ana", cancel=True))
    log.now_s += RESEND_WINDOW_S + 1
    log.apply(DrainEndpoint("engine-2", "ana"))

    late = log.apply(drain, _request_id(1))
    log.now_s = NOW_S
    behind = log.apply(drain, _request_id(1))

    assert late.reason == behind.reason == "may_have_run"
    assert sorted(log.state.drains.drain_by_endpoint) == ["engine-2"]


def test_an_invalid_rules_file_changes_nothing(log) -> None:
    before = log.state.rules.current

    refused = log.apply(ApplyRules(1, RULES + "allow nobody service x\n", "ana"))

    assert refused.reason == "bad_request"
    assert "rules:5:" in refused.detail
    assert log.state.rules.current is before
    assert log.state.view_index == 1


def test_undecodable_commands_are_refused_and_later_commands_are_applied(log) -> None:
    assert RESULTS.decode(log.state.apply(2, b"\xc1")).reason == "bad_request"
    log.entries.append(b"\xc1")

    assert log.apply(ApplyRules(1, RULES + "\n", "ana")) == RulesApplied(2)


def _claim(request_id: str, daemon: str = "e1", incarnation: int = 1) -> ClaimKey:
    return ClaimKey("forge", "ticket-7", "digest", request_id, daemon, incarnation)


def test_a_claimed_ticket_is_granted_once_and_answered_from_the_store(log) -> None:
    """
    The answer to a non-idempotent request is lost, and the caller resends it through another entry,
    both while the first request runs and after it ended.

    If the idempotency key were granted to both, the request would run twice.
    """
    assert log.apply(_claim("r1")).state == "granted"
    assert log.apply(_claim("r1")).state == "granted"
    assert log.apply(_claim("r2", "e2")).state == "running"
    log.apply(SettleClaim("forge", "ticket-7", "r2", "not_run"))
    assert log.apply(_claim("r3", "e2")).state == "running"

    done = SettleClaim("forge", "ticket-7", "r1", "done", 200, b"bale 7", "text/plain", True)
    assert log.apply(done).state == "done"
    log.apply(SettleClaim("forge", "ticket-7", "r1", "not_run"))

    again = log.apply(_claim("r4", "e2"))
    assert (again.state, again.status, again.answer) == ("done", 200, b"bale 7")
    other = ClaimKey("forge", "ticket-7", "other digest", "r5", "e2", 1)
    assert log.apply(other).state == "conflict"


def test_a_claim_of_a_restarted_entry_may_have_run(log) -> None:
    """
    An entry crashes after it claimed an idempotency key, and restarts; the caller resends the
    request.

    It is unknown whether the first request was sent. If the key were granted to the resent one, the
    request could run twice. If the answer were "not run", it could be false.
    """
    log.apply(_claim("r1"))
    log.apply(DaemonStarted("e1", 2))
    assert log.apply(_claim("r2", "e1", 2)).state == "may_have_run"
    assert log.apply(_claim("r3", "e2")).state == "may_have_run"
    late = log.apply(ClaimKey("forge", "other", "digest", "r4", "e1", 1))
    assert late.reason == "conflict"

    released = _Log().with_rules()
    released.apply(_claim("r1"))
    released.apply(SettleClaim("forge", "ticket-7", "r1", "not_run"))
    assert released.apply(_claim("r2", "e2")).state == "granted"


def _usage(sequence: int, window: int, tokens: int, incarnation: int = 1) -> AddUsage:
    records = (UsageRecord("forge", "scorer-lm", tokens, 1, 0.5),)
    return AddUsage("e1", incarnation, sequence, window, records)


def test_usage_counts_once_and_a_closed_window_never_changes(log) -> None:
    """
    Usage is resent after a lost acknowledgement, also by an earlier start of a restarted entry, and
    some usage arrives after its window was closed and reported.

    If usage were counted twice, it would be billed twice. If usage were added to a closed window, a
    second report of the window would differ from the first.
    """
    log.apply(_usage(1, 5, 100))
    log.apply(_usage(1, 5, 100))
    log.apply(_usage(1, 5, 10, incarnation=2))
    log.apply(_usage(1, 5, 100))
    log.apply(CloseWindow(5))
    closed = log.state.usage.closed_by_window[5]
    assert [line.tokens for line in closed.lines] == [110]

    assert log.apply(_usage(2, 5, 7, incarnation=2)).window == 6
    log.apply(CloseWindow(5))
    log.apply(CloseWindow(6))

    assert log.state.usage.closed_by_window[5] == closed
    late = log.state.usage.closed_by_window[6].lines
    assert [(line.tokens, line.late) for line in late] == [(7, True)]


def test_usage_of_a_window_that_no_leader_closed_is_reported_late_not_lost(log) -> None:
    log.apply(_usage(1, 3, 100))
    log.apply(CloseWindow(5))

    lines = log.state.usage.closed_by_window[5].lines
    assert [(line.tokens, line.late) for line in lines] == [(100, True)]


def test_each_new_intent_gets_the_next_fencing_number_and_a_resent_one_keeps_it(log) -> None:
    first = OrderIntent("o1", "platform", b"start")
    assert log.apply(first) == IntentRecorded(1)
    assert log.apply(OrderIntent("o2", "platform", b"stop")) == IntentRecorded(2)
    assert log.apply(first) == IntentRecorded(1)
    assert log.apply(OrderIntent("o1", "platform", b"other")).reason == "conflict"

    log.apply(OrderResolved("o1", "done"))
    log.apply(OrderResolved("o1", "unknown"))

    assert [order.order_id for order in log.state.orders.open_orders()] == ["o2"]
    assert log.state.orders.order_by_id["o1"].outcome == "done"


def _open(daemon: str, take_over_epoch: int = 0) -> OpenStep:
    return OpenStep("reader", 1, "scorer-lm", "digest", 2, daemon, 1, take_over_epoch)


def _deliver(epoch: int, *versions: int, batch: str = "b") -> DeliverBatch:
    labels = tuple(
        SampleLabel(f"reader/1/{epoch}/{number}", "d", version)
        for number, version in enumerate(versions)
    )
    return DeliverBatch("reader", 1, epoch, f"{batch}{epoch}", labels)


def test_a_sample_that_became_stale_before_delivery_is_not_delivered(log) -> None:
    """
    The samples are within the staleness limit when the entry checks them, but the trainer publishes
    a version before the batch is delivered.

    If the limit were checked only before the delivery command is applied, stale samples would get
    into training.
    """
    log.apply(_open("e1"))
    log.apply(PublishVersion("reader", "scorer-lm", 4))

    assert log.apply(_deliver(1, 1, 2)) == BatchStale(4, ("reader/1/1/0",))
    assert log.apply(_deliver(1, 2, 4)).state == "delivered"
    assert log.apply(PublishVersion("reader", "scorer-lm", 3)).reason == "stale"


def test_a_step_that_was_taken_over_is_delivered_by_its_new_owner_only(log) -> None:
    """
    An entry is disconnected while it gathers the samples of a step. Another entry takes over the
    step and delivers a batch, then the first entry reconnects and delivers a batch too.

    If both batches were accepted, the trainer would train on the samples of the step twice.
    """
    assert log.apply(_open("e1")).epoch == 1
    assert log.apply(_open("e2")).daemon == "e1"
    taken = log.apply(_open("e2", 1))
    assert (taken.epoch, taken.daemon) == (2, "e2")
    assert log.apply(_open("e3", 1)).daemon == "e2"

    assert log.apply(_deliver(1, 0, 0)).state == "conflict"
    assert log.apply(_deliver(2, 0, 0)).state == "delivered"
    assert log.apply(_deliver(2, 0, 0)).state == "delivered"
    assert log.apply(_deliver(2, 0, 0, batch="other")).state == "conflict"
    assert log.apply(_open("e3")).daemon == "e2"


def test_a_lost_batch_is_replaced_under_new_sample_ids_only(log) -> None:
    log.apply(_open("e1"))
    log.apply(_deliver(1, 0, 0))

    assert log.apply(_open("e2", 1)).epoch == 2
    old_ids = DeliverBatch("reader", 1, 2, "b", _deliver(1, 0, 0).labels)
    assert log.apply(old_ids).reason == "conflict"
    assert log.apply(_deliver(2, 0, 0)).state == "delivered"
    assert log.apply(AckStep("reader", 1, "b1")).state == "conflict"
    assert log.apply(AckStep("reader", 1, "b2")).state == "acknowledged"
    assert log.apply(_open("e3", 2)).state == "acknowledged"


def test_a_step_whose_record_was_removed_is_not_opened_again(log) -> None:
    for step in range(1, 12):
        log.apply(OpenStep("reader", step, "scorer-lm", "digest", 1, "e1", 1))

    assert log.apply(_open("e1")).reason == "stale"


def test_state_size_stays_bounded_while_vms_are_replaced(log, monkeypatch) -> None:
    monkeypatch.setattr(claims, "MAX_DAEMONS", 3)
    log.apply(ClaimKey("forge", "ticket-7", "digest", "r1", "old", 1))
    for number in range(10):
        log.apply(DaemonStarted(f"vm-{number}", 1))
        log.apply(AddUsage(f"vm-{number}", 1, 1, number, ()))
        log.now_s += SEQUENCE_RETENTION_S / 2
    log.apply(DaemonStarted("old", 2))
    log.apply(CloseWindow(10))

    assert len(log.state.claims.incarnation_by_daemon) <= 4
    assert len(log.state.usage.sequence_by_start) <= 2
    assert log.apply(ClaimKey("forge", "ticket-7", "digest", "r2", "e2", 1)).state == "granted"


def test_replicas_agree_byte_for_byte_also_when_one_started_from_a_snapshot(log) -> None:
    """
    A replica is restored from a snapshot several times while 300 commands are applied.

    If the order of a dict determined which claims are removed, the restored replica would remove
    other claims than the replica that was never restored. One leader would then grant a resent
    request that the next leader refuses.
    """
    uninterrupted = _Log().with_rules()
    restarted = _Log().with_rules()
    for number in range(300):
        command = _mixed_command(number)
        for replica in (uninterrupted, restarted):
            replica.now_s += 400.0
            replica.apply(command)
        if number % 50 == 0:
            restarted.state.restore(restarted.state.snapshot())

    assert restarted.state.snapshot() == uninterrupted.state.snapshot()


def _mixed_command(number: int) -> Any:
    account = f"account-{(number * 7) % 11}"
    choices = (
        ClaimKey(account, f"key-{number}", "d", f"r{number}", f"e{number % 3}", number // 100),
        SettleClaim(account, f"key-{number - 1}", f"r{number - 1}", "done", 200, b"x", "t", True),
        _usage(number, number // 10, number),
        CloseWindow(number // 10 - 2),
        OrderIntent(f"o{number}", "platform", b"{}"),
        DrainEndpoint(f"engine-{(number * 5) % 13}", "ana", cancel=number % 2 == 0),
        OpenStep("reader", number, "scorer-lm", "d", 1, f"e{number % 2}", 1),
        PublishVersion("reader", "scorer-lm", number),
        ApplyRules(number // 9 % 3, RULES, "ana"),
    )
    return choices[number % len(choices)]
