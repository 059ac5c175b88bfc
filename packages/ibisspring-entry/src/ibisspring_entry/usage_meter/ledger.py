"""What is metered and not yet confirmed, without network or clock."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from ibisspring_core.messages.commands import AddUsage, UsageRecord

# A caller's resend comes within its retry time; older request ids need not be remembered.
REMEMBERED_REQUESTS = 65_536


@dataclass(frozen=True)
class _Key:
    window: int
    client_account: str
    service: str


class Ledger:
    """
    Sums usage by window, client account and service, and numbers what is handed over.

    A batch keeps its sequence number and its content until it is confirmed. The state machine
    counts (daemon, incarnation, sequence) once, so that a batch sent again after a lost answer is
    not billed twice; were the content to change between two sends, the second one's difference
    would be lost.
    """

    def __init__(self, daemon: str, incarnation: int) -> None:
        self._daemon = daemon
        self._incarnation = incarnation
        self._sequence = 0
        self._open_by_key: dict[_Key, UsageRecord] = {}
        self._unconfirmed: OrderedDict[int, AddUsage] = OrderedDict()
        self._seen_requests: OrderedDict[str, None] = OrderedDict()

    def add(self, window: int, record: UsageRecord, request_id: str) -> bool:
        """
        Add the usage of one request.

        :param window: index of the usage window in which the work ended.
        :param record: what it used.
        :param request_id: a request is billed once under its id, however often it was retried.
        :return: False when the request was billed already.
        """
        if request_id in self._seen_requests:
            return False
        self._seen_requests[request_id] = None
        if len(self._seen_requests) > REMEMBERED_REQUESTS:
            self._seen_requests.popitem(last=False)
        key = _Key(window, record.client_account, record.service)
        before = self._open_by_key.get(key, UsageRecord(record.client_account, record.service))
        self._open_by_key[key] = UsageRecord(
            record.client_account,
            record.service,
            before.tokens + record.tokens,
            before.calls + record.calls,
            before.endpoint_s + record.endpoint_s,
        )
        return True

    def cut(self) -> None:
        """Put what was added since the last cut into batches, one for each window."""
        records_by_window: dict[int, list[UsageRecord]] = {}
        for key, record in self._open_by_key.items():
            records_by_window.setdefault(key.window, []).append(record)
        self._open_by_key = {}
        for window in sorted(records_by_window):
            self._sequence += 1
            self._unconfirmed[self._sequence] = AddUsage(
                self._daemon,
                self._incarnation,
                self._sequence,
                window,
                tuple(records_by_window[window]),
            )

    def unconfirmed(self) -> tuple[AddUsage, ...]:
        """Batches to be sent, in the order of their sequence."""
        return tuple(self._unconfirmed.values())

    def confirm(self, sequence: int) -> None:
        """
        Forget a batch that was committed.

        :param sequence: its number.
        """
        self._unconfirmed.pop(sequence, None)


__all__ = ["REMEMBERED_REQUESTS", "Ledger"]
