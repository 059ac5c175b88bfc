"""
Usage that was metered and whose commit is not confirmed yet.

The ledger uses neither network nor clock.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from ibisspring_core.messages.commands import AddUsage, UsageRecord

# Most request ids that are kept to recognise a request that was already billed. Callers resend a
# request only within their retry time, so older ids can be removed.
MAX_REQUEST_IDS = 65_536


@dataclass(frozen=True)
class _UsageKey:
    window: int
    client_account: str
    service: str


class Ledger:
    """
    Sums usage by usage window, client account and service, and puts it into numbered batches.

    A batch keeps its sequence number and its content until it is confirmed. The control state
    machine counts each (daemon, incarnation, sequence) once, so that a batch that is sent again
    after a lost response is not billed twice. If the content changed between two sends, usage added
    in between would be lost.
    """

    def __init__(self, daemon: str, incarnation: int) -> None:
        self._daemon = daemon
        self._incarnation = incarnation
        self._sequence = 0
        self._unbatched_by_key: dict[_UsageKey, UsageRecord] = {}
        self._unconfirmed: OrderedDict[int, AddUsage] = OrderedDict()
        self._billed_request_ids: OrderedDict[str, None] = OrderedDict()

    def add(self, window: int, record: UsageRecord, request_id: str) -> bool:
        """
        Add the usage of one request.

        :param window: index of the usage window in which the request ended.
        :param record: usage of the request.
        :param request_id: id under which the request is billed once, however often it was retried.
        :return: False if the request has already been billed.
        """
        if request_id in self._billed_request_ids:
            return False
        self._billed_request_ids[request_id] = None
        if len(self._billed_request_ids) > MAX_REQUEST_IDS:
            self._billed_request_ids.popitem(last=False)
        key = _UsageKey(window, record.client_account, record.service)
        previous = self._unbatched_by_key.get(
            key, UsageRecord(record.client_account, record.service)
        )
        self._unbatched_by_key[key] = UsageRecord(
            record.client_account,
            record.service,
            previous.tokens + record.tokens,
            previous.calls + record.calls,
            previous.endpoint_s + record.endpoint_s,
        )
        return True

    def create_batches(self) -> None:
        """Put usage added since the last call into batches, one for each usage window."""
        records_by_window: dict[int, list[UsageRecord]] = {}
        for key, record in self._unbatched_by_key.items():
            records_by_window.setdefault(key.window, []).append(record)
        self._unbatched_by_key = {}
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
        """Return the batches that still have to be sent, in the order of their sequence numbers."""
        return tuple(self._unconfirmed.values())

    def confirm(self, sequence: int) -> None:
        """
        Remove a batch that the control leader has committed.

        :param sequence: sequence number of the batch.
        """
        self._unconfirmed.pop(sequence, None)


__all__ = ["MAX_REQUEST_IDS", "Ledger"]
