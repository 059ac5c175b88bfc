"""The service `admission`."""

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


class AdmissionService:
    """Lets callers in at the rate of their client account over all entries together."""

    name = "admission"

    def __init__(self, daemon: str) -> None:
        self._daemon = daemon
        self._admission = Admission.from_rules({}, boot_now())
        self._followed: Rules | None = None

    @classmethod
    def from_config(cls, settings: Settings) -> AdmissionService:
        """
        Build the service.

        :param settings: this daemon's settings.
        :return: the service.
        """
        return cls(settings.daemon)

    async def start(self, kernel: Kernel) -> None:
        """Follow the rules and the peers' demand."""
        self._lease = kernel.find("lease")
        self._registry = kernel.find("registry")
        kernel.find("timer").subscribe("admission", SHARE_EVERY_S, self._share)

    async def stop(self) -> None:
        """Nothing to stop: the timer ends the ticks."""

    def ask(self, client_account: str) -> Refusal | None:
        """
        Let one request in.

        :param client_account: who calls.
        :return: None where it may go on, else when to come back; nothing was done for it.
        """
        rules = self._lease.rules()
        if isinstance(rules, Refusal):
            return rules
        now = boot_now()
        if rules is not self._followed:
            self._admission.follow_rules(rules.client_account_by_name, now)
            self._followed = rules
        decision = self._admission.ask(client_account, now)
        if isinstance(decision, Admitted):
            return None
        detail = f"{client_account} is over its rate"
        return Refusal(Reason.RATE_LIMITED, True, decision.retry_after_s, detail)

    async def _share(self, now: float) -> None:
        self._registry.set_demand(self._admission.demand(now))
        view = self._lease.view()
        if isinstance(view, Refusal):
            return
        told = self._registry.peer_demand()
        peers = []
        for daemon in view.peer_by_daemon:
            if daemon == self._daemon:
                continue
            heard_s, demand = told.get(daemon, (None, {}))
            peers.append(PeerDemand(heard_s, demand))
        self._admission.share(tuple(peers), now)


__all__ = ["AdmissionService"]
