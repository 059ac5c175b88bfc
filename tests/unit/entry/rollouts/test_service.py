from __future__ import annotations

import dataclasses
import json
from typing import Any

import msgspec
from unit.entry.rollouts.stand_ins import Engines

from fakes.trainer import step_body
from ibisspring_control.state import StateMachine
from ibisspring_core.clock import wall_now
from ibisspring_core.counters import Counters
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.kernel import Kernel
from ibisspring_core.messages.codec import encode
from ibisspring_core.messages.commands import COMMANDS, RESULTS, ApplyRules, Envelope
from ibisspring_core.messages.endpoints import EndpointLoad, EndpointRecord
from ibisspring_core.messages.views import EntryView, PeerRecord
from ibisspring_core.request_ids import new_request_id
from ibisspring_core.rules import Rules
from ibisspring_core.settings import EntrySettings
from ibisspring_core.timer import TimerService
from ibisspring_entry.http.bodies import parse_body
from ibisspring_entry.rollouts import Rollouts
from ibisspring_entry.rollouts.peer_batches import Progress
from ibisspring_entry.rollouts.step_request import StepRequest
from integration.processes import wait_until
from integration.training_system import MODEL, RULES, TRAINER

REQUEST = parse_body(json.dumps(step_body(MODEL, 1, 2, 4)).encode(), StepRequest)
ENGINE = EndpointRecord(
    "n1", 1, 1, MODEL, "engine", "standard", "derby", "127.0.0.1:1", load=EndpointLoad(capacity=8)
)


class _Control:
    """A control client that applies commands directly to a real state machine."""

    name = "control_client"

    def __init__(self) -> None:
        self.state = StateMachine.empty()
        self.index = 0
        self.lose_answer = False

    async def start(self, kernel: Kernel) -> None: ...

    async def stop(self) -> None: ...

    async def propose(self, command: Any, request_id: str) -> Any:
        self.index += 1
        envelope = Envelope(request_id, wall_now(), msgspec.Raw(COMMANDS.encode(command)))
        result = RESULTS.decode(self.state.apply(self.index, encode(envelope)))
        if self.lose_answer:
            self.lose_answer = False
            return Refusal(Reason.MAY_HAVE_RUN, not_run=False)
        return result

    async def read(self, query: str, trainer: str, step: int) -> dict[str, Any]:
        found = self.state.steps.step_by_key.get((trainer, step))
        if found is None:
            return {"found": False}
        return {"found": True, **dataclasses.asdict(found)}


class _EntryServices:
    """Test double for the services lease, registry, endpoints and http of one entry."""

    def __init__(self, name: str, control: _Control, live: set[str]) -> None:
        self.name = name
        self.control = control
        self.live = live
        self.incarnation = 1
        self.engines = Engines(lambda request: (1, 1))

    def view(self) -> EntryView:
        peers = {daemon: PeerRecord(daemon, 1, "derby", "127.0.0.1:1") for daemon in self.live}
        return dataclasses.replace(self.control.state.entry_view(), peer_by_daemon=peers)

    def rules(self) -> Rules:
        return self.control.state.rules.rules

    def available_endpoints(self, service: str) -> tuple[EndpointRecord, ...]:
        return (ENGINE,)

    def generate(self, request: Any) -> Any:
        return self.engines.generate(request)

    def add_route(self, path: str, resource: Any) -> None: ...

    async def start(self) -> Rollouts:
        kernel = Kernel.from_services((TimerService(), Counters(None), self.control))
        for service in ("lease", "registry", "endpoints", "http"):
            kernel.service_by_name[service] = self
        rollouts = Rollouts(self.name, EntrySettings("127.0.0.1:1", "127.0.0.1:2"))
        await rollouts.start(kernel)
        return rollouts


async def _two_entries() -> tuple[Rollouts, Rollouts, set[str]]:
    control = _Control()
    applied = await control.propose(ApplyRules(0, RULES, "ana"), new_request_id())
    assert applied.version == 1, applied
    live = {"e1", "e2"}
    first = await _EntryServices("e1", control, live).start()
    second = await _EntryServices("e2", control, live).start()
    return first, second, live


async def _batch(rollouts: Rollouts) -> bytes:
    found: list[bytes] = []

    async def is_complete() -> bool:
        result = await rollouts.fetch(TRAINER, 1)
        if isinstance(result, bytes):
            found.append(result)
        return bool(found)

    await wait_until(is_complete, "the batch to be delivered")
    return found[0]


async def test_an_owner_that_lost_its_step_returns_no_batch_of_it() -> None:
    """
    An owner that was replaced gets another request for the batch.

    The owner delivered the batch and was then cut off until its lease lapsed; another entry took
    the step over. The old owner still holds its payload and has not received the new state.
    Without a commit before each resend, the trainer would get both the old and the new samples.
    """
    first, second, live = await _two_entries()
    await first.open_step(TRAINER, 1, REQUEST)
    old = await _batch(first)
    live.discard("e1")
    await second.open_step(TRAINER, 1, REQUEST)
    new = await _batch(second)

    again = await first.fetch_owned(TRAINER, 1, "")
    await second.stop()

    assert old != new
    assert isinstance(again, Refusal)
    assert again.reason is Reason.OWNER_LOST


async def test_a_batch_is_resent_unchanged_until_its_step_is_acknowledged() -> None:
    first, _, _ = await _two_entries()
    await first.open_step(TRAINER, 1, REQUEST)
    batch = await _batch(first)

    assert await first.fetch_owned(TRAINER, 1, "") == batch
    wrong = await first.acknowledge(TRAINER, 1, "another batch")
    assert isinstance(wrong, Refusal)
    done = await first.acknowledge(TRAINER, 1, json.loads(batch)["digest"])
    assert done == Progress("acknowledged", 0, 0, 0.0)
    assert await first.fetch(TRAINER, 1) == Progress("acknowledged", 0, 0, 0.5)


async def test_a_live_owner_keeps_its_step() -> None:
    first, second, _ = await _two_entries()
    await first.open_step(TRAINER, 1, REQUEST)

    result = await second.open_step(TRAINER, 1, REQUEST)
    owner_batch = await _batch(first)
    await first.stop()

    assert isinstance(result, Progress)
    assert json.loads(owner_batch)["samples"][0]["sample"].startswith(f"{TRAINER}:1:1:")


async def test_a_delivery_whose_answer_was_lost_is_repeated_with_the_same_batch() -> None:
    """
    The response to a committed delivery is lost; the trainer publishes versions and retries.

    If the batch were built again without the samples that are stale by now, it would differ from
    the batch in the replicated log: it would be rejected forever, and the step could never be
    completed.
    """
    first, _, _ = await _two_entries()
    control = first._commands._control
    await first.open_step(TRAINER, 1, REQUEST)
    await wait_until(
        lambda: first._step_by_key[TRAINER, 1].gathering.ready_count() == 2,
        "both samples to be ready",
    )
    control.lose_answer = True
    lost = await first.fetch(TRAINER, 1)
    for version in (1, 2, 3):
        await first.publish(TRAINER, MODEL, version)

    batch = await _batch(first)

    assert isinstance(lost, Refusal)
    state = control.state.steps.step_by_key[TRAINER, 1]
    assert state.batch_digest == json.loads(batch)["digest"]


async def test_an_owner_without_the_delivered_batch_takes_over_its_own_step() -> None:
    first, _, _ = await _two_entries()
    await first.open_step(TRAINER, 1, REQUEST)
    old = await _batch(first)
    await first.stop()

    assert isinstance(await first.open_step(TRAINER, 1, REQUEST), Progress)
    new = await _batch(first)
    await first.stop()

    old_ids = {sample["sample"] for sample in json.loads(old)["samples"]}
    assert not old_ids & {sample["sample"] for sample in json.loads(new)["samples"]}
