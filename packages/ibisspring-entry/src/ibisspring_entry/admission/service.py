"""The service `admission`: limits the request rate of each client account over all entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Reason, Refusal
from ibisspring_decisions.admission import Admission, Admitted, PeerDemand

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.rules import Rules
    from ibisspring_core.settings import Settings

SHARE_EVERY_S = 0.5
"""Seconds between two updates of this entry's share of each client account's rate."""


class AdmissionService:
    """Admits requests at their client account's rate, which holds for all entries together."""

    name = "admission"

    def __init__(self, daemon: str) -> None:
        self._daemon = daemon
        self._admission = Admission.from_rules({}, boot_now())
        self._applied_rules: Rules | None = None

    @classmethod
    def from_config(cls, settings: Settings) -> AdmissionService:
        """
        Build the service of this daemon; the operator's rules are applied at the first request.

        :param settings: validated settings of this daemon.
        """
        return cls(settings.daemon)

    async def start(self, kernel: Kernel) -> None:
        """
        Look up the lease and the registry, and update this entry's shares periodically.

        :param kernel: registry in which the daemon's services find each other.
        """
        self._lease = kernel.find("lease")
        self._registry = kernel.find("registry")
        kernel.find("timer").subscribe("admission", SHARE_EVERY_S, self._update_shares)

    async def stop(self) -> None:
        """No-op: the timer service stops the scheduled callback."""

    def admit(self, client_account: str) -> Refusal | None:
        """
        Admit or reject one request.

        :param client_account: the client account of the caller.
        :return: None if the request is admitted. Otherwise the refusal, with the seconds after
            which the caller should retry; a refused request has not been run.
        """
        rules = self._lease.rules()
        if isinstance(rules, Refusal):
            return rules
        now = boot_now()
        if rules is not self._applied_rules:
            self._admission.set_rules(rules.client_account_by_name, now)
            self._applied_rules = rules
        decision = self._admission.admit(client_account, now)
        if isinstance(decision, Admitted):
            return None
        detail = f"{client_account} exceeds its request rate"
        return Refusal(Reason.RATE_LIMITED, True, decision.retry_after_s, detail)

    async def _update_shares(self, now: float) -> None:
        self._registry.set_demand(self._admission.demand(now))
        view = self._lease.view()
        if isinstance(view, Refusal):
            return
        demand_by_daemon = self._registry.peer_demand()
        peers = []
        for daemon in view.peer_by_daemon:
            if daemon == self._daemon:
                continue
            received_s, demand = demand_by_daemon.get(daemon, (None, {}))
            peers.append(PeerDemand(received_s, demand))
        self._admission.divide_by_demand(tuple(peers), now)


__all__ = ["AdmissionService"]
