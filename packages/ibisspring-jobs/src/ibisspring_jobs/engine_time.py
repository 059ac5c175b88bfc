"""
Charges client accounts for the engine time of their runs, and tells when to commit the usage.

The usage is in the memory of the jobs' leader and is committed to the log every KEEP_EVERY_S
seconds, if it has changed. A new leader starts from the last commit, so at most the usage since
then is charged to nobody.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ibisspring_decisions.account_shares import AccountLedger
from ibisspring_jobs.commands import KeepUsage

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ibisspring_jobs.runs import Run
    from ibisspring_jobs.state import JobsState
    from ibisspring_jobs.surroundings import DispatchContext

# Seconds between two samples of the runs in progress. A run is charged the whole time between two
# samples if it is in progress at the second one, which is right on average.
SAMPLE_EVERY_S = 0.1
# Longest time that one sample charges. A leader that was frozen does not know what ran meanwhile.
MAX_SAMPLE_S = 1.0
# Seconds between two commits of the usage.
KEEP_EVERY_S = 3.0
# Part of a service's usage by which an account's usage must differ from the log for a commit.
KEEP_PART = 0.02


@dataclass(frozen=True)
class AccountShare:
    """
    What an account has used of a service's engines, and what is its due.

    :param used_s: decayed slot-seconds that it has used.
    :param share_s: its share, by weight, of what the accounts with open items have used.
    :param lent_s: slot-seconds beyond its share, which the others have lent it.
    :param owed_s: slot-seconds by which it is below its share.
    """

    service: str
    client_account: str
    weight: float
    used_s: float
    share_s: float
    lent_s: float
    owed_s: float


class EngineTime:
    """The engine time that client accounts have used, by service, during one epoch."""

    def __init__(self, state: JobsState, context: DispatchContext) -> None:
        self._state = state
        self._context = context
        self._sampled_at: float | None = None
        self._kept_at: float | None = None
        self._ledger_by_service: dict[str, AccountLedger] = {}
        for service in {usage.service for usage in state.usage}:
            self._ledger_by_service[service] = AccountLedger.from_usage(
                state.usage, service, context.weight_of
            )

    def ledger(self, service: str) -> AccountLedger:
        """Return the ledger of a service, on the wall clock of the daemons."""
        ledger = self._ledger_by_service.get(service)
        if ledger is None:
            ledger = AccountLedger(self._context.weight_of)
            self._ledger_by_service[service] = ledger
        return ledger

    def sample(self, runs: Iterable[Run], now: float) -> None:
        """
        Charge the time since the last sample to the accounts of the runs in progress.

        :param now: seconds since boot.
        """
        if self._sampled_at is None:
            self._sampled_at = now
        elapsed_s = now - self._sampled_at
        if elapsed_s < SAMPLE_EVERY_S:
            return
        self._sampled_at = now
        count_by_job = Counter(run.job for run in runs if not run.scoring)
        wall_s = self._context.wall_s()
        for job_id, count in count_by_job.items():
            job_record = self._state.job_by_id.get(job_id)
            if job_record is None:
                continue
            slot_s = count * min(elapsed_s, MAX_SAMPLE_S)
            job = job_record.job
            self.ledger(job.service).charge(job.client_account, slot_s, wall_s)

    def usage_to_keep(self, now: float) -> KeepUsage | None:
        """
        Return the usage to be committed now; None if the log has it nearly so, or had it recently.

        :param now: seconds since boot.
        """
        if self._kept_at is None:
            self._kept_at = now
        if now - self._kept_at < KEEP_EVERY_S:
            return None
        wall_s = self._context.wall_s()
        if not any(self._differs(service, wall_s) for service in self._ledger_by_service):
            return None
        self._kept_at = now
        usage = [
            entry
            for service, ledger in sorted(self._ledger_by_service.items())
            for entry in ledger.to_usage(service, wall_s)
        ]
        return KeepUsage(tuple(usage))

    def _differs(self, service: str, wall_s: float) -> bool:
        kept = AccountLedger.from_usage(self._state.usage, service)
        ledger = self._ledger_by_service[service]
        accounts = {*kept.accounts(), *ledger.accounts()}
        total_s = sum(ledger.used_s(account, wall_s) for account in accounts)
        return any(
            abs(ledger.used_s(account, wall_s) - kept.used_s(account, wall_s)) > KEEP_PART * total_s
            for account in accounts
        )

    def active_accounts(self, service: str) -> frozenset[str]:
        """Return the accounts that have open items at a service."""
        return frozenset(
            job_record.job.client_account
            for job_record in self._state.job_by_id.values()
            if job_record.item_by_id and job_record.job.service == service
        )

    def shares(self, service: str) -> tuple[AccountShare, ...]:
        """Return the present shares of all accounts with open items or usage, by name."""
        wall_s = self._context.wall_s()
        ledger = self.ledger(service)
        active = self.active_accounts(service)
        shares = []
        for account in sorted({*active, *ledger.accounts()}):
            owed_s = ledger.owed_s(account, active, wall_s)
            shares.append(
                AccountShare(
                    service=service,
                    client_account=account,
                    weight=ledger.weight(account),
                    used_s=round(ledger.used_s(account, wall_s), 3),
                    share_s=round(ledger.share_s(account, active, wall_s), 3),
                    lent_s=round(max(0.0, -owed_s), 3),
                    owed_s=round(max(0.0, owed_s), 3),
                )
            )
        return tuple(shares)

    def services(self) -> tuple[str, ...]:
        """Return the services with usage."""
        return tuple(sorted(self._ledger_by_service))


__all__ = ["AccountShare", "EngineTime"]
