"""
Runs an entry without control daemons.

The process runs the real entry services with stand-ins for the lease and the control client.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from pathlib import Path
from typing import Any

from ibisspring_control.state.moment import LogPosition
from ibisspring_control.state.suspects import Suspects, SuspectsSnapshot
from ibisspring_core.clock import wall_now
from ibisspring_core.counters import Counters
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.kernel import Kernel
from ibisspring_core.logs import start_logging
from ibisspring_core.messages.commands import ClaimKey, ClaimState, Done, SettleClaim
from ibisspring_core.messages.crash_suspects import ClearSuspect, ReportEnd, StartTrial
from ibisspring_core.messages.views import EntryView
from ibisspring_core.rules import ClientAccount
from ibisspring_core.settings import EntrySettings, Settings
from ibisspring_core.timer import TimerService
from ibisspring_entry.admission import AdmissionService
from ibisspring_entry.claims import Claims
from ibisspring_entry.http import HttpService
from ibisspring_entry.proxy import Endpoints
from ibisspring_entry.proxy.crash_suspects import crash_suspects
from ibisspring_entry.registry import Registry


class PermissiveRules:
    """Stand-in for parsed rules that allows every client account the given services."""

    client_account_by_name = {
        "stoke-foundry": ClientAccount("stoke-foundry", (), 100_000.0, 1.0, 100_000.0)
    }
    placement_by_service: dict[str, Any] = {}
    timeout_s_by_service: dict[str, float] = {}

    def __init__(self, services: list[str]) -> None:
        self.services = services

    def allows(self, client_account: str, service: str) -> bool:
        return service in self.services

    def is_idempotent(self, service: str, method: str, path: str) -> bool:
        return method in ("GET", "HEAD") or path.startswith("/idempotent")


class StandInLease:
    """A lease that never lapses; the key of a client account is `key-` followed by its name."""

    name = "lease"
    incarnation = 1

    def __init__(self, services: list[str], control: StandInControl) -> None:
        self._rules = PermissiveRules(services)
        self._control = control

    async def start(self, kernel: Kernel) -> None:
        pass

    async def stop(self) -> None:
        pass

    def view(self) -> EntryView | Refusal:
        suspects = self._control.suspects
        return EntryView(
            index=1,
            rules_version=1,
            rules_text="",
            suspects=suspects.summaries(),
            suspect_change=suspects.change,
        )

    def rules(self) -> Any:
        return self._rules

    def client_account_of(self, key: str) -> str | None:
        return key.removeprefix("key-") if key.startswith("key-") else None

    def subscribe(self, callback: Any) -> None:
        pass


class StandInControl:
    """Stand-in for the control client that keeps one entry's claims and suspects in memory."""

    name = "control_client"

    def __init__(self) -> None:
        self.claim_by_key: dict[tuple[str, str], ClaimState] = {}
        self.digest_by_key: dict[tuple[str, str], str] = {}
        self.suspects = Suspects(SuspectsSnapshot())

    async def start(self, kernel: Kernel) -> None:
        pass

    async def stop(self) -> None:
        pass

    async def propose(self, command: Any, request_id: str, total_s: float = 0.0) -> Any:
        position = LogPosition(0, wall_now())
        if isinstance(command, ReportEnd):
            return self.suspects.report_end(command, position)
        if isinstance(command, ClearSuspect):
            return self.suspects.clear(command)
        if isinstance(command, StartTrial):
            return self.suspects.start_trial(command, position)
        claim_id = (command.client_account, command.key)
        if isinstance(command, ClaimKey):
            return self._claim(claim_id, command)
        if isinstance(command, SettleClaim):
            return self._settle(claim_id, command)
        return Refusal(Reason.BAD_REQUEST, True)

    def _claim(self, claim_id: tuple[str, str], command: ClaimKey) -> ClaimState:
        if claim_id not in self.claim_by_key:
            self.claim_by_key[claim_id] = ClaimState("running", command.request_id)
            self.digest_by_key[claim_id] = command.digest
            return ClaimState("granted", command.request_id)
        if self.digest_by_key[claim_id] != command.digest:
            return ClaimState("conflict", command.request_id)
        return self.claim_by_key[claim_id]

    def _settle(self, claim_id: tuple[str, str], command: SettleClaim) -> ClaimState | Done:
        if command.outcome == "not_run":
            del self.claim_by_key[claim_id]
            return Done()
        state = ClaimState(
            command.outcome,
            command.request_id,
            "",
            command.status,
            command.answer,
            command.content_type,
            command.stored,
        )
        self.claim_by_key[claim_id] = state
        return state


async def run(options: dict[str, Any]) -> None:
    stopping = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopping.set)
    settings = Settings(
        daemon="e1",
        data_centre="birmingham",
        roles=("entry",),
        entry=EntrySettings(**options["entry"]),
    )
    control = StandInControl()
    kernel = Kernel.from_services(
        (
            TimerService(),
            Counters.from_config(None),
            control,
            StandInLease(options["services"], control),
            Registry.from_config(settings),
            AdmissionService.from_config(settings),
            crash_suspects(settings),
            Endpoints.from_config(settings),
            Claims.from_config(settings),
            HttpService.from_config(settings),
        )
    )
    await kernel.start()
    await stopping.wait()
    await kernel.stop()


def main() -> None:
    options = json.loads(Path(sys.argv[1]).read_text())
    start_logging(options["log"])
    asyncio.run(run(options))


if __name__ == "__main__":
    main()
