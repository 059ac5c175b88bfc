from __future__ import annotations

from ibisspring_core.messages.commands import UsageRecord
from ibisspring_entry.usage_meter.ledger import Ledger


def test_usage_is_summed_by_window_account_and_service() -> None:
    ledger = Ledger("e1", 7)
    ledger.add(3, UsageRecord("stoke", "lm", 10, 1, 0.5), "r1")
    ledger.add(3, UsageRecord("stoke", "lm", 5, 1, 0.25), "r2")
    ledger.add(4, UsageRecord("stoke", "lm", 1, 1, 0.0), "r3")
    ledger.create_batches()

    first, second = ledger.unconfirmed()

    assert (first.sequence, first.window) == (1, 3)
    assert first.records == (UsageRecord("stoke", "lm", 15, 2, 0.75),)
    assert (second.sequence, second.window) == (2, 4)


def test_a_retried_request_is_billed_once() -> None:
    ledger = Ledger("e1", 7)

    assert ledger.add(3, UsageRecord("stoke", "lm", 10, 1), "r1")
    assert not ledger.add(3, UsageRecord("stoke", "lm", 10, 1), "r1")


def test_an_unconfirmed_batch_keeps_its_number_and_content() -> None:
    ledger = Ledger("e1", 7)
    ledger.add(3, UsageRecord("stoke", "lm", 10, 1), "r1")
    ledger.create_batches()
    (batch,) = ledger.unconfirmed()

    ledger.add(3, UsageRecord("stoke", "lm", 5, 1), "r2")
    ledger.create_batches()

    assert ledger.unconfirmed()[0] == batch
    ledger.confirm(1)
    assert [left.sequence for left in ledger.unconfirmed()] == [2]
