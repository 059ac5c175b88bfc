from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

import pytest
from aiohttp.test_utils import TestServer

from fakes import platform, usage
from ibisspring_control.leader_duties.leadership import Leadership, LeadershipWatch
from ibisspring_control.state.orders import Order
from ibisspring_control.state.usage import UsageLine, UsageWindow
from ibisspring_core.counters import Counters
from ibisspring_core.errors import Refusal
from ibisspring_core.messages.codec import decode
from ibisspring_core.messages.commands import (
    COMMANDS,
    RESULTS,
    CloseWindow,
    Done,
    Envelope,
    IntentRecorded,
    OrderIntent,
    OrderResolved,
    WindowReported,
)


@dataclass(frozen=True)
class Committed:
    index: int
    result: bytes


@dataclass
class Control:
    """In-memory stand-in for the consensus service and the state machine; commits at once."""

    is_leader: bool = True
    term: int = 1
    lease_s: float = 10.0
    refuse_next: list[Refusal] = field(default_factory=list)
    commands: list[Any] = field(default_factory=list)
    window_by_index: dict[int, UsageWindow] = field(default_factory=dict)
    open_by_id: dict[str, Order] = field(default_factory=dict)
    fencing: int = 0
    on_commit: Any = None

    def lease_left_s(self) -> float:
        return self.lease_s

    async def propose(self, data: bytes) -> Committed | Refusal:
        if self.refuse_next:
            return self.refuse_next.pop()
        command = COMMANDS.decode(decode(data, Envelope).command)
        self.commands.append(command)
        result = self._apply(command)
        if self.on_commit is not None:
            self.on_commit(command)
        return Committed(len(self.commands), RESULTS.encode(result))

    def _apply(self, command: Any) -> Any:
        if isinstance(command, OrderIntent):
            self.fencing += 1
            self.open_by_id[command.order_id] = Order(
                command.order_id, command.receiver, command.body, self.fencing, self.fencing, 0.0
            )
            return IntentRecorded(self.fencing)
        if isinstance(command, OrderResolved):
            del self.open_by_id[command.order_id]
        if isinstance(command, CloseWindow):
            window = self.window_by_index[command.window]
            self.window_by_index[command.window] = UsageWindow(window.window, window.lines, 1)
        if isinstance(command, WindowReported):
            del self.window_by_index[command.window]
        return Done()

    def unreported_windows(self) -> tuple[UsageWindow, ...]:
        return tuple(self.window_by_index[index] for index in sorted(self.window_by_index))

    def open_orders(self) -> tuple[Order, ...]:
        return tuple(sorted(self.open_by_id.values(), key=lambda order: order.fencing))


@pytest.fixture
def control() -> Control:
    control = Control()
    line = UsageLine("stoke-foundry", "scorer-lm", False, 70, 2, 1.5)
    control.window_by_index[5] = UsageWindow(5, (line,))
    return control


@pytest.fixture
def watch(control: Control) -> LeadershipWatch:
    return LeadershipWatch(control, 0.0)


@pytest.fixture
def leadership() -> Leadership:
    return Leadership(1, 0.0)


@pytest.fixture
def counters() -> Counters:
    return Counters.from_config(None)


@pytest.fixture
def fake_platform() -> platform.FakePlatform:
    return platform.FakePlatform()


@pytest.fixture
async def platform_url(fake_platform: platform.FakePlatform) -> AsyncIterator[str]:
    server = TestServer(platform.build_app(fake_platform))
    await server.start_server()
    yield str(server.make_url("")).rstrip("/")
    await server.close()


@pytest.fixture
def fake_usage() -> usage.FakeUsage:
    return usage.FakeUsage()


@pytest.fixture
async def usage_url(fake_usage: usage.FakeUsage) -> AsyncIterator[str]:
    server = TestServer(usage.build_app(fake_usage))
    await server.start_server()
    yield str(server.make_url("")).rstrip("/")
    await server.close()
