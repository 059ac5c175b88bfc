"""The kernel service `rollouts`: trainers' steps on this entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.messages.commands import BatchStale, StepState
from ibisspring_decisions.sampling import EXPECTED_FROM, expected_publications
from ibisspring_entry.rollouts.engine_choice import EngineChoice
from ibisspring_entry.rollouts.gathering import Gathering, GatherNeeds, StepKey
from ibisspring_entry.rollouts.owned_step import OwnedStep
from ibisspring_entry.rollouts.ownership import (
    address_of_owner,
    is_current,
    is_lost,
    is_own,
)
from ibisspring_entry.rollouts.peer_batches import Progress, fetch_from_peer
from ibisspring_entry.rollouts.resources import trainer_routes
from ibisspring_entry.rollouts.samples import Batch, build_batch
from ibisspring_entry.rollouts.scoring import ScoreBatcher
from ibisspring_entry.rollouts.step_commands import StepCommands
from ibisspring_entry.rollouts.step_request import check_step_request
from ibisspring_entry.rollouts.trainer_calls import Published
from ibisspring_entry.rollouts.trainer_rules import (
    bound_of,
    check_share,
    client_account_of,
)

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.settings import EntrySettings, Settings
    from ibisspring_entry.rollouts.step_request import StepRequest

RETRY_AFTER_S = 0.5
SWEEP_S = 10.0


class Rollouts:
    """Opens steps, gathers their samples and delivers each batch once."""

    name = "rollouts"

    def __init__(self, daemon: str, entry_settings: EntrySettings) -> None:
        self._daemon = daemon
        self._entry_settings = entry_settings
        self._step_by_key: dict[tuple[str, int], OwnedStep] = {}
        self._publications_by_trainer: dict[str, tuple[int, ...]] = {}

    @classmethod
    def from_config(cls, settings: Settings) -> Rollouts:
        """
        Build the service.

        :param settings: settings of a daemon with the entry role.
        :return: the service.
        """
        return cls(settings.daemon, settings.entry)

    async def start(self, kernel: Kernel) -> None:
        """
        Find the services that steps need and add the trainers' routes.

        :param kernel: holds lease, registry, endpoints, control_client, counters, usage_meter,
            http.
        """
        self._lease = kernel.find("lease")
        self._registry = kernel.find("registry")
        self._endpoints = kernel.find("endpoints")
        control = kernel.find("control_client")
        self._commands = StepCommands(control, self._daemon, self._lease.incarnation)
        self._counters = kernel.find("counters")
        self._usage = kernel.find_optional("usage_meter")
        kernel.find("timer").subscribe("rollouts:sweep", SWEEP_S, self._sweep)
        for path, resource in trainer_routes(kernel, self, self._entry_settings):
            kernel.find("http").add_route(path, resource)

    async def stop(self) -> None:
        """End all steps; a trainer's next question finds another entry that takes them over."""
        for owned in self._step_by_key.values():
            await owned.stop()
        self._step_by_key.clear()

    async def open_step(self, trainer: str, step: int, request: StepRequest) -> Progress | Refusal:
        """
        Open a step, or find it under the same request, or take it over from a lost entry.

        :param trainer: the trainer; its key was checked.
        :param step: number of the step; with the trainer it is the idempotency key.
        :param request: what the step is made of.
        :return: how far the step is, or a refusal.
        """
        refusal = check_step_request(request) or check_share(self._lease, trainer, request.model)
        if refusal is not None:
            return refusal
        owned = self._step_by_key.get((trainer, step))
        if owned is not None and owned.request != request:
            return _conflict("the step is open with another request")
        if owned is not None:
            return self._progress(owned)
        state = await self._commands.open(trainer, step, request)
        if isinstance(state, StepState) and self._may_take_over(state, trainer, step):
            self._counters.add("steps.taken_over")
            state = await self._commands.open(trainer, step, request, state.epoch)
        if isinstance(state, Refusal):
            return state
        if state.state == "conflict":
            return _conflict("the step was opened with another request")
        if state.state == "acknowledged" or not is_own(state, self._commands):
            ready = request.sample_count() if state.state != "open" else 0
            return Progress(state.state, ready, request.sample_count(), RETRY_AFTER_S)
        return await self._begin(trainer, step, request, state)

    async def fetch(self, trainer: str, step: int) -> bytes | Progress | Refusal:
        """
        Fetch the batch of a step through this entry.

        :param trainer: the trainer; its key was checked.
        :param step: number of the step.
        :return: the payload, how far the step is, or a refusal.
        """
        if (trainer, step) in self._step_by_key:
            return await self.payload_of(trainer, step, "")
        state = await self._commands.read(trainer, step)
        if isinstance(state, Refusal):
            return state
        if state is None:
            return Refusal(Reason.BAD_REQUEST, not_run=True, detail="no such step; open it first")
        if state.state == "acknowledged":
            return Progress("acknowledged", 0, 0, RETRY_AFTER_S)
        address = address_of_owner(self._lease, state)
        if isinstance(address, Refusal):
            return address
        return await fetch_from_peer(address, trainer, step, state.batch_digest)

    async def payload_of(self, trainer: str, step: int, digest: str) -> bytes | Progress | Refusal:
        """
        The batch of a step that this entry owns; commits its delivery before the first byte.

        The commit is made when the trainer asks, not when the last sample arrives: a batch that
        waits while its trainer publishes new weights would age unseen. It is made again before each
        resend: an owner whose step was taken over while it was cut off still holds a payload, and
        the state machine refuses its old epoch, so the old samples are not delivered beside their
        replacements.

        :param digest: the batch that is meant; empty for whichever is in force.
        :return: the payload, how far the step is, or a refusal.
        """
        owned = self._step_by_key.get((trainer, step))
        if owned is None:
            return Refusal(Reason.OWNER_LOST, not_run=True, detail="this entry holds no such step")
        published = owned.gathering.trainer_asks()
        if published is not None:
            earlier = self._publications_by_trainer.get(trainer, ())
            self._publications_by_trainer[trainer] = (*earlier, published)[-EXPECTED_FROM:]
        batch = owned.batch or owned.proposed
        if batch is None:
            samples = owned.gathering.whole()
            if samples is None:
                return self._progress(owned)
            batch = build_batch(trainer, step, samples)
        if digest and digest != batch.digest:
            return _conflict("the step has another batch")
        return await self._deliver(owned, batch)

    async def acknowledge(self, trainer: str, step: int, digest: str) -> Progress | Refusal:
        """
        Take the trainer's word that it holds the batch.

        :param digest: digest of the batch that it holds.
        :return: the step's end, or a refusal.
        """
        result = await self._commands.acknowledge(trainer, step, digest)
        if isinstance(result, Refusal):
            return result
        if result.state != "acknowledged":
            return _conflict("the step has another batch")
        owned = self._step_by_key.pop((trainer, step), None)
        if owned is not None:
            await owned.stop()
        return Progress("acknowledged", 0, 0, 0.0)

    async def publish(self, trainer: str, model: str, version: int) -> Published | Refusal:
        """
        Take a new weight version of a trainer.

        :param model: the model that its adapter belongs to.
        :param version: rises with each publication.
        :return: the version, or a refusal.
        """
        result = await self._commands.publish(trainer, model, version)
        return result if isinstance(result, Refusal) else Published(trainer, version)

    async def _begin(
        self, trainer: str, step: int, request: StepRequest, state: StepState
    ) -> Progress | Refusal:
        owned = self._step_by_key.get((trainer, step))
        if owned is not None and owned.gathering.key.epoch == state.epoch:
            # The trainer asked twice and the other question was answered first.
            return self._progress(owned)
        if owned is not None:
            await owned.stop()
        scorer = ScoreBatcher(trainer, lambda: self._scorers(request.scorer), self._counters)
        needs = GatherNeeds(
            endpoints=self._endpoints,
            counters=self._counters,
            client_account=client_account_of(self._lease, trainer),
            bound=lambda: bound_of(self._lease, trainer),
            engines=EngineChoice(self._lease, self._registry, trainer, request.model),
            expected=expected_publications(self._publications_by_trainer.get(trainer, ())),
            score=scorer.score if request.scorer else None,
        )
        gathering = Gathering(StepKey(trainer, step, state.epoch), request, needs)
        owned = OwnedStep(request, gathering, scorer)
        self._step_by_key[trainer, step] = owned
        gathering.start()
        return self._progress(owned)

    async def _deliver(self, owned: OwnedStep, batch: Batch) -> bytes | Progress | Refusal:
        key = owned.gathering.key
        # Kept until its fate is known: where the answer is lost, the commit may have been made, and
        # only the same batch can then be delivered.
        owned.proposed = batch
        result = await self._commands.deliver(key, batch)
        if isinstance(result, Refusal):
            return result
        if isinstance(result, BatchStale):
            owned.proposed = None
            owned.gathering.replace(result.stale_samples)
            return self._progress(owned)
        if result.epoch != key.epoch or result.batch_digest != batch.digest:
            return await self._give_up(owned, result)
        if owned.batch is None:
            owned.batch = batch
            await self._settle(owned, batch)
        return batch.payload

    async def _give_up(self, owned: OwnedStep, state: StepState) -> Refusal:
        """The step changed hands or ended: what is held here may never be delivered."""
        key = owned.gathering.key
        self._counters.add("steps.lost_epoch")
        self._step_by_key.pop((key.trainer, key.step), None)
        await owned.stop()
        return Refusal(
            Reason.OWNER_LOST,
            not_run=True,
            retry_after_s=RETRY_AFTER_S,
            detail=f"the step is {state.state} under epoch {state.epoch}; ask again",
        )

    async def _settle(self, owned: OwnedStep, batch: Batch) -> None:
        """End the work of a delivered step and account for it once."""
        await owned.stop()
        key = owned.gathering.key
        if self._usage is None:
            return
        for sample in batch.samples:
            self._usage.record(
                client_account_of(self._lease, key.trainer),
                owned.request.model,
                len(sample.tokens),
                1,
                sample.endpoint_s,
                sample.sample,
            )

    async def _sweep(self, now: float) -> None:
        """Let go of steps that another entry acknowledged or took over."""
        for (trainer, step), owned in tuple(self._step_by_key.items()):
            state = await self._commands.read(trainer, step)
            if isinstance(state, Refusal):
                continue
            if state is not None and is_current(state, owned.gathering.key):
                continue
            self._step_by_key.pop((trainer, step), None)
            await owned.stop()

    def _progress(self, owned: OwnedStep) -> Progress:
        state = "open" if owned.batch is None else "delivered"
        return Progress(state, owned.gathering.ready(), owned.request.sample_count(), RETRY_AFTER_S)

    def _may_take_over(self, state: StepState, trainer: str, step: int) -> bool:
        """Whether nobody holds the step: owner lost, or delivered here and dropped since."""
        if is_own(state, self._commands):
            return state.state == "delivered" and (trainer, step) not in self._step_by_key
        return is_lost(self._lease, state)

    def _scorers(self, service: str) -> tuple[str, ...]:
        records = self._registry.records_of(service)
        return tuple(record.address for record in records if record.role == "scorer")


def _conflict(detail: str) -> Refusal:
    return Refusal(Reason.CONFLICT, not_run=True, detail=detail)


__all__ = ["Rollouts"]
