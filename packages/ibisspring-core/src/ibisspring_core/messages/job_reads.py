"""Messages that read the results and bodies of a job's items."""

from __future__ import annotations

from dataclasses import dataclass

from ibisspring_core.messages.jobs import ItemResult  # noqa: TC001


@dataclass(frozen=True)
class ReadResults:
    """
    Asks for results by position in the job's list of results.

    :param job: id of the job.
    :param client_account: account that reads the results; must have submitted the job.
    :param after: position of the first requested result, from 0.
    :param hold_s: seconds to wait for a result at that position.
    :param max_bytes: maximum bytes of output in the answer; it contains at least one result if
        there is one.
    :param inline_bytes: bytes of output above which the answer is `ResultsListed`, with positions
        instead of results; None for no limit.
    """

    job: str
    client_account: str
    after: int
    hold_s: float
    max_bytes: int
    inline_bytes: int | None = None


@dataclass(frozen=True)
class ResultsListed:
    """
    Answer to `ReadResults`: results exist and can be read from any store that has applied them.

    :param total: number of items of the job.
    :param listed: position after the last result that fits into one answer.
    """

    total: int
    listed: int


@dataclass(frozen=True)
class ReadListed:
    """
    Asks any store for results that the leader has listed in `ResultsListed`.

    :param job: id of the job.
    :param client_account: account that reads the results; must have submitted the job.
    :param after: position of the first requested result, from 0.
    :param listed: position after the last requested result.
    """

    job: str
    client_account: str
    after: int
    listed: int


@dataclass(frozen=True)
class ResultsRead:
    """
    Answer to `ReadResults` and `ReadListed`: results from the requested position on.

    :param total: number of items of the job.
    :param results: the results in the order of their positions.
    """

    total: int
    results: tuple[ItemResult, ...]


@dataclass(frozen=True)
class ReadBody:
    """
    Asks for the request body of an item that has no result yet.

    :param begin: position in the body of the first requested byte.
    :param max_bytes: maximum bytes in the answer; None for no limit.
    """

    job: str
    client_account: str
    item: str
    begin: int = 0
    max_bytes: int | None = None


@dataclass(frozen=True)
class BodyRead:
    """
    Answer to `ReadBody`.

    :param body: the requested part of the body; None if the item has a result, has ended or is not
        in the job.
    :param size: size in bytes of the whole body; 0 if `body` is all of it.
    """

    body: bytes | None
    size: int = 0


__all__ = [
    "BodyRead",
    "ReadBody",
    "ReadListed",
    "ReadResults",
    "ResultsListed",
    "ResultsRead",
]
