"""
The replicated state machine, to which every control daemon applies the committed commands.

The state machine is deterministic: it uses no clock, file or random number, so replicas that apply
the same log have byte-identical state, including replicas that started from a snapshot. Results
must not depend on anything that a snapshot does not store, such as the order of a dict.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec
import xxhash

from ibisspring_control.state.claims import Claims, ClaimsSnapshot
from ibisspring_control.state.drains import Drains, DrainsSnapshot
from ibisspring_control.state.moment import LogPosition
from ibisspring_control.state.orders import Order, Orders, OrdersSnapshot
from ibisspring_control.state.requests import (
    RequestResult,
    RequestResults,
    RequestsSnapshot,
)
from ibisspring_control.state.rule_versions import RulesSnapshot, RuleVersions
from ibisspring_control.state.steps import Steps, StepsSnapshot
from ibisspring_control.state.suspects import Suspects, SuspectsSnapshot
from ibisspring_control.state.trainers import Trainers, TrainersSnapshot
from ibisspring_control.state.usage import Usage, UsageSnapshot, UsageWindow
from ibisspring_core.errors import Reason
from ibisspring_core.messages import commands
from ibisspring_core.messages.codec import decode
from ibisspring_core.messages.commands import COMMANDS, RESULTS, Envelope, Refused
from ibisspring_core.messages.crash_suspects import (
    ClearSuspect,
    ReportEnd,
    StartTrial,
    SuspectsChanged,
)
from ibisspring_core.messages.views import EntryView

if TYPE_CHECKING:
    from collections.abc import Callable

    from ibisspring_core.kernel import Kernel
    from ibisspring_core.settings import Settings

# Operators' commands, which have no idempotency key other than the request id: a resent command is
# answered with the stored result of its first application.
KEYED_BY_REQUEST_ID = (commands.ApplyRules, commands.DrainEndpoint)
# Commands that change the view that is sent to entries.
CHANGES_VIEW = (
    commands.ApplyRules,
    commands.DrainEndpoint,
    commands.PublishVersion,
    ReportEnd,
    ClearSuspect,
)
_CANONICAL = msgspec.msgpack.Encoder(order="sorted")


@dataclass(frozen=True)
class Snapshot:
    """The complete replicated state at one log index, as a snapshot stores it."""

    applied_index: int = 0
    view_index: int = 0
    requests: RequestsSnapshot = field(default_factory=RequestsSnapshot)
    rules: RulesSnapshot = field(default_factory=RulesSnapshot)
    trainers: TrainersSnapshot = field(default_factory=TrainersSnapshot)
    drains: DrainsSnapshot = field(default_factory=DrainsSnapshot)
    claims: ClaimsSnapshot = field(default_factory=ClaimsSnapshot)
    usage: UsageSnapshot = field(default_factory=UsageSnapshot)
    orders: OrdersSnapshot = field(default_factory=OrdersSnapshot)
    steps: StepsSnapshot = field(default_factory=StepsSnapshot)
    crash_suspects: SuspectsSnapshot = field(default_factory=SuspectsSnapshot)


class StateMachine:
    """The service `state`; only the consensus service modifies it, other services read it."""

    name = "state"

    def __init__(self, snapshot: Snapshot) -> None:
        self._set_state(snapshot)
        self._view_callbacks: list[Callable[[], None]] = []
        self._run_by_type: dict[type[Any], Callable[[Any, LogPosition], Any]] = {
            commands.ApplyRules: lambda command, position: self.rules.apply(command, position),
            commands.ClaimKey: lambda command, position: self.claims.claim(command, position),
            commands.SettleClaim: lambda command, position: self.claims.settle(command),
            commands.AddUsage: lambda command, position: self.usage.add(command, position),
            commands.CloseWindow: lambda command, position: self.usage.close(command, position),
            commands.WindowReported: lambda command, position: self.usage.mark_reported(command),
            commands.OrderIntent: lambda command, position: self.orders.record_intent(
                command, position
            ),
            commands.OrderResolved: lambda command, position: self.orders.resolve(command),
            commands.DrainEndpoint: lambda command, position: self.drains.apply(command, position),
            commands.PublishVersion: self._publish,
            commands.OpenStep: self._open_step,
            commands.DeliverBatch: self._deliver,
            commands.AckStep: lambda command, position: self.steps.acknowledge(command),
            commands.DaemonStarted: self._record_start,
            ReportEnd: lambda command, position: self.suspects.report_end(command, position),
            ClearSuspect: lambda command, position: self.suspects.clear(command),
            StartTrial: lambda command, position: self.suspects.start_trial(command, position),
        }

    @classmethod
    def empty(cls) -> StateMachine:
        """Build the state machine with the state before the first log entry."""
        return cls(Snapshot())

    @classmethod
    def from_config(cls, settings: Settings) -> StateMachine:
        """
        Build the state machine of a daemon with the state before the first log entry.

        No setting affects the state, because replicas with different settings must have the same
        state.

        :param settings: checked settings of the daemon; not used.
        """
        return cls.empty()

    async def start(self, kernel: Kernel) -> None:
        """No-op: the consensus service restores the state from a snapshot and applies the log."""

    async def stop(self) -> None:
        """No-op: the consensus service stores the log and the snapshots of the state."""

    def apply(self, index: int, data: bytes) -> bytes:
        """
        Apply one committed command.

        :param index: log index of the command, higher than every applied index.
        :param data: the command in an encoded `Envelope`.
        :return: the command's result, encoded by RESULTS.
        """
        if index <= self.applied_index:
            raise ValueError(f"log index {index} is not above the applied index")
        self.applied_index = index
        try:
            envelope = decode(data, Envelope)
            command = COMMANDS.decode(bytes(envelope.command))
        except msgspec.DecodeError as error:
            # Every replica returns the same refusal for undecodable bytes. An exception would stop
            # every replica at this log entry, also after each restart.
            return RESULTS.encode(Refused(Reason.BAD_REQUEST.value, str(error)))
        position = LogPosition(index, envelope.stamped_s)
        if not isinstance(command, KEYED_BY_REQUEST_ID):
            return RESULTS.encode(self._execute(command, position))
        return self._execute_once(envelope, command, position)

    def _execute_once(self, envelope: Envelope, command: Any, position: LogPosition) -> bytes:
        digest = xxhash.xxh3_64_intdigest(bytes(envelope.command))
        known = self.requests.result_by_id.get(envelope.request_id)
        if known is not None and known.command_digest != digest:
            detail = "this request id was used for another command"
            return RESULTS.encode(Refused(Reason.CONFLICT.value, detail))
        if known is not None:
            return known.result
        refused = self.requests.check(envelope.request_id, position)
        if refused is not None:
            return RESULTS.encode(refused)
        result = RESULTS.encode(self._execute(command, position))
        self.requests.store(
            RequestResult(envelope.request_id, position.index, digest, result), position
        )
        return result

    def _execute(self, command: Any, position: LogPosition) -> Any:
        result = self._run_by_type[type(command)](command, position)
        if isinstance(command, CHANGES_VIEW) and isinstance(
            result, commands.RulesApplied | commands.Done | SuspectsChanged
        ):
            self.view_index = position.index
            self._notify_view_changed()
        return result

    def _publish(self, command: commands.PublishVersion, position: LogPosition) -> Any:
        return self.trainers.publish(command, self.rules.rules, position)

    def _open_step(self, command: commands.OpenStep, position: LogPosition) -> Any:
        return self.steps.open(command, self.rules.rules)

    def _deliver(self, command: commands.DeliverBatch, position: LogPosition) -> Any:
        version = self.trainers.version_of(command.trainer)
        return self.steps.deliver(command, self.rules.rules, version)

    def _record_start(
        self, command: commands.DaemonStarted, position: LogPosition
    ) -> commands.Done:
        self.claims.record_start(command.daemon, command.incarnation)
        return commands.Done()

    def unreported_windows(self) -> tuple[UsageWindow, ...]:
        """
        Return the usage windows whose report the usage interface has not acknowledged.

        :return: the open windows, and the closed ones without an acknowledgement, oldest first.
        """
        return self.usage.unreported_windows()

    def open_orders(self) -> tuple[Order, ...]:
        """
        Return the orders to the platform and to endpoints whose outcome is not recorded.

        :return: the open orders, sorted by fencing number.
        """
        return self.orders.open_orders()

    def draining_endpoints(self) -> tuple[str, ...]:
        """Return the ids of the endpoints that are being drained, sorted."""
        return tuple(sorted(self.drains.drain_by_endpoint))

    def subscribe_view(self, callback: Callable[[], None]) -> None:
        """
        Register a callback for changes of the view that is sent to entries.

        :param callback: called synchronously after each change; it must not modify the state.
        """
        self._view_callbacks.append(callback)

    def _notify_view_changed(self) -> None:
        for callback in self._view_callbacks:
            callback()

    def first_index_of(self, request_id: str) -> int | None:
        """
        Find the log index at which a command of KEYED_BY_REQUEST_ID was first applied.

        :return: the log index, or None if no result is stored for the request id.
        """
        known = self.requests.result_by_id.get(request_id)
        return known.index if known is not None else None

    def entry_view(self) -> EntryView:
        """
        Build the view (rules, weight versions, drains) that entries act on.

        The view does not contain the live entries; the service `entry_leases` adds them as peers.

        :return: the view at log index `view_index`.
        """
        versions = self.trainers.version_by_trainer
        return EntryView(
            index=self.view_index,
            rules_version=self.rules.current.version,
            rules_text=self.rules.current.text,
            version_by_trainer={name: versions[name].version for name in sorted(versions)},
            draining=self.draining_endpoints(),
            suspects=self.suspects.summaries(),
            suspect_change=self.suspects.change,
        )

    def snapshot(self) -> bytes:
        """
        Encode the complete state; replicas with the same applied index return the same bytes.

        :return: msgpack with sorted keys.
        """
        return _CANONICAL.encode(
            Snapshot(
                applied_index=self.applied_index,
                view_index=self.view_index,
                requests=self.requests.snapshot(),
                rules=self.rules.snapshot(),
                trainers=self.trainers.snapshot(),
                drains=self.drains.snapshot(),
                claims=self.claims.snapshot(),
                usage=self.usage.snapshot(),
                orders=self.orders.snapshot(),
                steps=self.steps.snapshot(),
                crash_suspects=self.suspects.snapshot(),
            )
        )

    def restore(self, data: bytes) -> None:
        """
        Replace the complete state by that of a snapshot.

        :param data: bytes that `snapshot` returned; malformed bytes raise `msgspec.DecodeError`.
        """
        self._set_state(decode(data, Snapshot))
        self._notify_view_changed()

    def _set_state(self, snapshot: Snapshot) -> None:
        self.applied_index = snapshot.applied_index
        self.view_index = snapshot.view_index
        self.requests = RequestResults(snapshot.requests)
        self.rules = RuleVersions(snapshot.rules)
        self.trainers = Trainers(snapshot.trainers)
        self.drains = Drains(snapshot.drains)
        self.claims = Claims(snapshot.claims)
        self.usage = Usage(snapshot.usage)
        self.orders = Orders(snapshot.orders)
        self.steps = Steps(snapshot.steps)
        self.suspects = Suspects(snapshot.crash_suspects)


__all__ = ["Snapshot", "StateMachine"]
