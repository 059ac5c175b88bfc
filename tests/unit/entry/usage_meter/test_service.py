from __future__ import annotations

from ibisspring_core.counters import Counters
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.kernel import Kernel
from ibisspring_core.messages.commands import UsageAdded
from ibisspring_core.timer import TimerService
from ibisspring_entry.usage_meter import UsageMeter


class _ControlClient:
    name = "control_client"

    def __init__(self) -> None:
        self.proposals: list[tuple[str, object]] = []
        self.refusals = 0

    async def start(self, kernel: Kernel) -> None:
        """No-op: the control client of this test has no connection."""

    async def stop(self) -> None:
        """No-op: the control client of this test has no connection."""

    async def propose(self, command, request_id: str):
        self.proposals.append((request_id, command))
        if self.refusals:
            self.refusals -= 1
            return Refusal(Reason.MAY_HAVE_RUN, not_run=False)
        return UsageAdded(command.window)


async def test_a_batch_is_resent_after_a_lost_answer_and_stop_flushes() -> None:
    client = _ControlClient()
    counters = Counters.from_config(None)
    meter = UsageMeter("e1", 7)
    kernel = Kernel.from_services((TimerService(), counters, client, meter))
    await kernel.start()
    client.refusals = 1
    meter.record("stoke", "lm", 10, 1, 0.5, "r1")
    assert not await meter.flush()
    meter.record("stoke", "lm", 10, 1, 0.5, "r1")
    meter.record("stoke", "lm", 3, 1, 0.5, "r2")

    await kernel.stop()

    assert [request_id for request_id, _ in client.proposals] == [
        "usage-e1-7-1",
        "usage-e1-7-1",
        "usage-e1-7-2",
    ]
    assert client.proposals[0] == client.proposals[1]
    assert counters.count_by_name == {"retried.may_have_run": 1, "usage.repeated": 1}
