"""Proposals and reads that wait for their answer."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from ibisspring_core.errors import Reason, Refusal


@dataclass(frozen=True)
class Committed:
    """
    A command was committed and applied.

    :param index: its place in the log.
    :param result: what the state machine answered.
    """

    index: int
    result: bytes


class Waiting:
    """Futures of proposals and reads, by what they wait for."""

    def __init__(self, retry_after_s: float) -> None:
        self._retry_after_s = retry_after_s
        self._numbers = 0
        self._proposal_by_number: dict[int, asyncio.Future[Committed | Refusal]] = {}
        self._proposal_by_place: dict[tuple[int, int], asyncio.Future[Committed | Refusal]] = {}
        self._read_by_number: dict[int, asyncio.Future[int | Refusal]] = {}

    def add_proposal(self) -> tuple[int, asyncio.Future[Committed | Refusal]]:
        """
        Register a proposal.

        :return: its number and its future.
        """
        self._numbers += 1
        future = asyncio.get_running_loop().create_future()
        self._proposal_by_number[self._numbers] = future
        return self._numbers, future

    def add_read(self) -> tuple[int, asyncio.Future[int | Refusal]]:
        """
        Register a confirmed read.

        :return: its number and its future.
        """
        self._numbers += 1
        future = asyncio.get_running_loop().create_future()
        self._read_by_number[self._numbers] = future
        return self._numbers, future

    def proposed(self, number: int, index: int, term: int) -> None:
        """The proposal stands in the log at (index, term)."""
        self._proposal_by_place[(index, term)] = self._proposal_by_number.pop(number)

    def refused(self, number: int) -> None:
        """The proposal never entered a log."""
        _settle(self._proposal_by_number.pop(number), self.no_leader())

    def applied(self, index: int, term: int, result: bytes) -> None:
        """The entry at (index, term) was committed and applied."""
        future = self._proposal_by_place.pop((index, term), None)
        if future is not None:
            _settle(future, Committed(index, result))

    def stepped_down(self) -> None:
        """
        Answer all proposals that stand in the log uncommitted.

        The next leader may hold them and commit them, or overwrite them; here nobody will know in
        time.
        """
        refusal = Refusal(
            Reason.MAY_HAVE_RUN,
            not_run=False,
            retry_after_s=self._retry_after_s,
            detail="the leader changed before the commit; ask again under the same request id",
        )
        for future in self._proposal_by_place.values():
            _settle(future, refusal)
        self._proposal_by_place.clear()

    def read_confirmed(self, number: int, index: int) -> None:
        """State up to `index` was current."""
        _settle(self._read_by_number.pop(number), index)

    def read_refused(self, number: int) -> None:
        """This replica could not show that it leads."""
        _settle(self._read_by_number.pop(number), self.no_leader())

    def no_leader(self) -> Refusal:
        """
        Build the refusal of a replica that does not lead.

        :return: the refusal; the command entered no log.
        """
        return Refusal(
            Reason.NO_LEADER,
            not_run=True,
            retry_after_s=self._retry_after_s,
            detail="this control daemon does not lead",
        )

    def stop(self) -> None:
        """Answer all that waits."""
        self.stepped_down()
        for future in (*self._proposal_by_number.values(), *self._read_by_number.values()):
            _settle(future, self.no_leader())
        self._proposal_by_number.clear()
        self._read_by_number.clear()


def copy_result(done: asyncio.Future, futures: tuple[asyncio.Future, ...]) -> None:
    """Give all futures the result of one."""
    for future in futures:
        _settle(future, done.result())


def _settle(future: asyncio.Future, value: object) -> None:
    if not future.done():
        future.set_result(value)


__all__ = ["Committed", "Waiting", "copy_result"]
