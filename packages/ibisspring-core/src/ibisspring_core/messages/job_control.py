"""Messages between operators and the jobs' leader: look at, hold, release and end jobs."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class AccountShare:
    """
    The engine time of a client account at a service.

    :param service: name of the service.
    :param client_account: name of the client account.
    :param used_s: slot-seconds used, as last committed to the jobs' log.
    :param running: number of slots that the account's items use now.
    :param waiting: number of the account's items that wait for a slot.
    :param lent_s: slot-seconds that the account used beyond its share while others were idle; None
        if no ledger is kept.
    :param owed_s: slot-seconds by which the account is below its share; None if no ledger is kept.
    """

    service: str
    client_account: str
    used_s: float
    running: int
    waiting: int
    lent_s: float | None = None
    owed_s: float | None = None


@dataclass(frozen=True)
class WaitCause:
    """
    Why items of a job wait.

    :param reason: one of the constants of `ibisspring_jobs.wait_causes`.
    :param engines: number of engines that it keeps from running the items; 0 if it is not about
        single engines.
    """

    reason: str
    engines: int = 0


@dataclass(frozen=True)
class ReadJob:
    """Asks for the details of a job; a quorum confirms that an unknown job does not exist."""

    job: str


@dataclass(frozen=True)
class JobRead:
    """
    Answer to `ReadJob`.

    :param job: id of the job.
    :param client_account: account that submitted the job.
    :param service: name of the service that runs the items.
    :param model: name of the model.
    :param priority: rank of the job; 0 is the highest.
    :param held: whether an operator holds the job.
    :param hold_request: id of the newest applied request to hold or release; empty for none.
    :param ended: whether the job has ended.
    :param total: number of items.
    :param listed: number of items whose result has a position in the job's result list.
    :param running: number of items that run now.
    :param waiting: number of items without a result that do not run.
    :param complete_groups: number of groups whose items all have a result, abandoned ones included;
        None once the job has ended, as the items without a result are no longer stored.
    :param wanted_groups: number of complete groups that the trainer waits for.
    :param due_in_s: seconds until all results are due; negative if this has passed.
    :param give_up_in_s: seconds until items may be abandoned; negative if this has passed.
    :param causes: why items wait; empty if none waits.
    :param predicted_end_in_s: predicted seconds until the last wanted group is complete; None if no
        prediction is made.
    :param share: engine time of the job's client account at the service.
    """

    job: str
    client_account: str
    service: str
    model: str
    priority: int
    held: bool
    hold_request: str
    ended: bool
    total: int
    listed: int
    running: int
    waiting: int
    complete_groups: int | None
    wanted_groups: int
    due_in_s: float
    give_up_in_s: float
    causes: tuple[WaitCause, ...]
    predicted_end_in_s: float | None
    share: AccountShare


@dataclass(frozen=True)
class ChangeHold:
    """
    An operator holds or releases a job.

    :param job: id of the job.
    :param held: True holds the job, so that none of its items starts; False releases it.
    :param request: id of this request; a repeated request changes nothing.
    :param after: id of the newest request that the operator has read, empty for none. If another
        one was applied in between, nothing is changed; a request that was delayed in the network
        thus never reverts a later one.
    """

    job: str
    held: bool
    request: str
    after: str


@dataclass(frozen=True)
class HoldChanged:
    """
    Answer to `ChangeHold`: the change is durable and no item starts against it.

    :param running: number of items of the job that run and go on running.
    :param waiting: number of its items without a result that do not run.
    """

    job: str
    held: bool
    request: str
    running: int
    waiting: int


@dataclass(frozen=True)
class EndAnyJob:
    """
    An operator ends a job of any client account; answered with `JobEnded`.

    :param request: id of the operator's request, for the logs; an end can be repeated.
    """

    job: str
    request: str


@dataclass(frozen=True)
class ReadShares:
    """Asks for the engine time of all client accounts."""


@dataclass(frozen=True)
class SharesRead:
    """Answer to `ReadShares`: accounts with open items or used engine time, by service."""

    shares: tuple[AccountShare, ...]


__all__ = [
    "AccountShare",
    "ChangeHold",
    "EndAnyJob",
    "HoldChanged",
    "JobRead",
    "ReadJob",
    "ReadShares",
    "SharesRead",
    "WaitCause",
]
