"""What the jobs' leader knows about the future of jobs and about shares of engine time."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ibisspring_jobs.dispatcher import Dispatcher


@dataclass(frozen=True)
class ShareBalance:
    """
    Balance of a client account at a service.

    :param used_s: slot-seconds used, decayed until now.
    :param lent_s: slot-seconds used beyond the share while others were idle.
    :param owed_s: slot-seconds by which the account is below its share.
    """

    used_s: float
    lent_s: float
    owed_s: float


def share_balances(dispatcher: Dispatcher) -> dict[tuple[str, str], ShareBalance]:
    """
    Return the balance of each client account, by service and account.

    :return: empty while the dispatcher keeps no ledger.
    """
    if not dispatcher.context.policy.shares:
        return {}
    engine_time = dispatcher.engine_time
    return {
        (share.service, share.client_account): ShareBalance(
            share.used_s, share.lent_s, share.owed_s
        )
        for service in engine_time.services()
        for share in engine_time.shares(service)
    }


def predicted_end_s(dispatcher: Dispatcher, job: str) -> float | None:
    """
    Return the predicted time at which a job's last wanted group is complete.

    :param job: id of the job.
    :return: wall-clock time in seconds since 1970; None if no prediction is made.
    """
    return dispatcher.plans.predicted_end_s(job) if dispatcher.plans is not None else None


__all__ = ["ShareBalance", "predicted_end_s", "share_balances"]
