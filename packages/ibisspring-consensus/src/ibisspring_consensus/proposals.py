"""Proposed commands and confirmed reads whose callers wait for a result."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from ibisspring_core.errors import Reason, Refusal


@dataclass(frozen=True)
class Committed:
    """
    Result of a proposed command that was committed and applied.

    :param index: log index of the command.
    :param result: bytes that the state machine returned for the command.
    """

    index: int
    result: bytes


class PendingResults:
    """Futures of pending proposals and reads, by number or by log position (index and term)."""

    def __init__(self, retry_after_s: float) -> None:
        self._retry_after_s = retry_after_s
        self._last_number = 0
        self._proposal_by_number: dict[int, asyncio.Future[Committed | Refusal]] = {}
        self._proposal_by_position: dict[tuple[int, int], asyncio.Future[Committed | Refusal]] = {}
        self._read_by_number: dict[int, asyncio.Future[int | Refusal]] = {}

    def add_proposal(self) -> tuple[int, asyncio.Future[Committed | Refusal]]:
        """
        Register a proposed command that is about to be passed to the core.

        :return: the number for the `Propose` event, and the future of the result.
        """
        self._last_number += 1
        future = asyncio.get_running_loop().create_future()
        self._proposal_by_number[self._last_number] = future
        return self._last_number, future

    def add_read(self) -> tuple[int, asyncio.Future[int | Refusal]]:
        """
        Register a read that the core has to confirm.

        :return: the number for the `ConfirmRead` event, and the future of the confirmed index.
        """
        self._last_number += 1
        future = asyncio.get_running_loop().create_future()
        self._read_by_number[self._last_number] = future
        return self._last_number, future

    def proposed(self, number: int, index: int, term: int) -> None:
        """Record that the proposal was appended to the log at (index, term)."""
        self._proposal_by_position[(index, term)] = self._proposal_by_number.pop(number)

    def refused(self, number: int) -> None:
        """Complete a proposal with a refusal, because it was not appended to any log."""
        _set_result(self._proposal_by_number.pop(number), self.no_leader())

    def applied(self, index: int, term: int, result: bytes) -> None:
        """Complete the proposal at (index, term) with the state machine's result."""
        future = self._proposal_by_position.pop((index, term), None)
        if future is not None:
            _set_result(future, Committed(index, result))

    def stepped_down(self) -> None:
        """
        Refuse all proposals that were appended to the log and are not committed.

        The next leader may commit or overwrite these proposals, and this replica does not learn in
        time which of both happens.
        """
        refusal = Refusal(
            Reason.MAY_HAVE_RUN,
            not_run=False,
            retry_after_s=self._retry_after_s,
            detail="the leader changed before the commit; retry with the same request id",
        )
        for future in self._proposal_by_position.values():
            _set_result(future, refusal)
        self._proposal_by_position.clear()

    def read_confirmed(self, number: int, index: int) -> None:
        """Complete a read: the state machine's state at log index `index` or later is current."""
        _set_result(self._read_by_number.pop(number), index)

    def read_refused(self, number: int) -> None:
        """Refuse a read: this replica could not confirm that it is the leader."""
        _set_result(self._read_by_number.pop(number), self.no_leader())

    def no_leader(self) -> Refusal:
        """
        Build the refusal with which a replica that is not the leader answers.

        :return: the refusal; its `not_run` says that the command was not appended to any log.
        """
        return Refusal(
            Reason.NO_LEADER,
            not_run=True,
            retry_after_s=self._retry_after_s,
            detail="this daemon is not the leader",
        )

    def stop(self) -> None:
        """Refuse all pending proposals and reads, because the daemon stops or failed."""
        self.stepped_down()
        for future in (*self._proposal_by_number.values(), *self._read_by_number.values()):
            _set_result(future, self.no_leader())
        self._proposal_by_number.clear()
        self._read_by_number.clear()


def copy_result(done: asyncio.Future, futures: tuple[asyncio.Future, ...]) -> None:
    """Copy the result of a finished future to the futures of all callers that wait for it."""
    for future in futures:
        _set_result(future, done.result())


def _set_result(future: asyncio.Future, value: object) -> None:
    if not future.done():
        future.set_result(value)


__all__ = ["Committed", "PendingResults", "copy_result"]
