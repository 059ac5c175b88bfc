"""The kernel service `rollouts`: runs the training steps that this entry owns."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.messages.commands import BatchStale, StepState
from ibisspring_decisions.sampling import PUBLICATION_HISTORY_STEPS, expected_publications
from ibisspring_entry.rollouts.engine_choice import EngineChoice
from ibisspring_entry.rollouts.gathering import Gathering, GatheringContext, StepKey
from ibisspring_entry.rollouts.owned_step import OwnedStep
from ibisspring_entry.rollouts.ownership import (
    address_of_owner,
    is_own,
    is_owner_lost,
    may_deliver,
)
from ibisspring_entry.rollouts.peer_batches import Progress, fetch_from_peer
from ibisspring_entry.rollouts.resources import trainer_routes
from ibisspring_entry.rollouts.samples import Batch, build_batch
from ibisspring_entry.rollouts.scoring import ScoreBatcher
from ibisspring_entry.rollouts.step_commands import StepCommands
from ibisspring_entry.rollouts.step_request import check_step_request
from ibisspring_entry.rollouts.trainer_calls import Published
from ibisspring_entry.rollouts.trainer_rules import (
    check_share,
    client_account_of,
    staleness_bound_of,
)

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.settings import EntrySettings, Settings
    from ibisspring_entry.rollouts.step_request import StepRequest

RETRY_AFTER_S = 0.5
# Seconds between two checks for steps that this entry no longer has to keep.
SWEEP_INTERVAL_S = 10.0


class Rollouts:
    """Opens steps, generates their samples and commits the delivery of each batch once."""

    name = "rollouts"

    def __init__(self, daemon: str, entry_settings: EntrySettings) -> None:
        self._daemon = daemon
        self._entry_settings = entry_settings
        self._step_by_key: dict[tuple[str, int], OwnedStep] = {}
        self._publications_by_trainer: dict[str, tuple[int, ...]] = {}

    @classmethod
    def from_config(cls, settings: Settings) -> Rollouts:
        """
        Build the service from the daemon's settings; it owns no steps yet.

        :param settings: validated settings of a daemon with the entry role.
        """
        return cls(settings.daemon, settings.entry)

    async def start(self, kernel: Kernel) -> None:
        """
        Look up the services that steps use and add the HTTP routes for trainers.

        :param kernel: registry in which this service finds lease, registry, endpoints,
            control_client, counters, timer, http and optionally usage_meter.
        """
        self._lease = kernel.find("lease")
        self._registry = kernel.find("registry")
        self._endpoints = kernel.find("endpoints")
        control = kernel.find("control_client")
        self._commands = StepCommands(control, self._daemon, self._lease.incarnation)
        self._counters = kernel.find("counters")
        self._usage_meter = kernel.find_optional("usage_meter")
        kernel.find("timer").subscribe("rollouts:sweep", SWEEP_INTERVAL_S, self._sweep)
        for path, resource in trainer_routes(kernel, self, self._entry_settings):
            kernel.find("http").add_route(path, resource)

    async def stop(self) -> None:
        """Stop all owned steps; another entry takes over a step at its trainer's next request."""
        for owned in self._step_by_key.values():
            await owned.stop()
        self._step_by_key.clear()

    async def open_step(self, trainer: str, step: int, request: StepRequest) -> Progress | Refusal:
        """
        Open a step, unless it is already open with the same request.

        This entry takes over the step if the entry that owned the step is lost.

        :param trainer: name of the trainer; its API key has been checked.
        :param step: number of the step; trainer and number together are the idempotency key.
        :param request: the samples that the step consists of.
        :return: the step's progress, or a refusal.
        """
        refusal = check_step_request(request) or check_share(self._lease, trainer, request.model)
        if refusal is not None:
            return refusal
        owned = self._step_by_key.get((trainer, step))
        if owned is not None and owned.request != request:
            return _conflict("the step is open with a different request body")
        if owned is not None:
            return self._progress(owned)
        state = await self._commands.open(trainer, step, request)
        if isinstance(state, StepState) and self._may_take_over(state, trainer, step):
            self._counters.add("steps.taken_over")
            state = await self._commands.open(trainer, step, request, state.epoch)
        if isinstance(state, Refusal):
            return state
        if state.state == "conflict":
            return _conflict("the step was opened with a different request body")
        if state.state == "acknowledged" or not is_own(state, self._commands):
            ready = request.sample_count() if state.state != "open" else 0
            return Progress(state.state, ready, request.sample_count(), RETRY_AFTER_S)
        return await self._start_gathering(trainer, step, request, state)

    async def fetch(self, trainer: str, step: int) -> bytes | Progress | Refusal:
        """
        Return the batch of a step, fetched from the owning entry if another entry owns the step.

        :param trainer: name of the trainer; its API key has been checked.
        :param step: number of the step.
        :return: the payload, the step's progress, or a refusal.
        """
        if (trainer, step) in self._step_by_key:
            return await self.fetch_owned(trainer, step, "")
        state = await self._commands.read(trainer, step)
        if isinstance(state, Refusal):
            return state
        if state is None:
            return Refusal(
                Reason.BAD_REQUEST, not_run=True, detail="the step does not exist; open it first"
            )
        if state.state == "acknowledged":
            return Progress("acknowledged", 0, 0, RETRY_AFTER_S)
        address = address_of_owner(self._lease, state)
        if isinstance(address, Refusal):
            return address
        return await fetch_from_peer(address, trainer, step, state.batch_digest)

    async def fetch_owned(self, trainer: str, step: int, digest: str) -> bytes | Progress | Refusal:
        """
        Return the batch of a step that this entry owns, after committing its delivery.

        The delivery is committed when the trainer requests the batch, not when the last sample is
        finished: otherwise a batch could become stale undetected while the trainer publishes new
        weights. The commit is repeated before each resend: an owner whose step was taken over while
        it was cut off from the control daemons still holds a payload, and the state machine rejects
        the old epoch, so that the old samples are not delivered in addition to their replacements.

        :param digest: digest of the expected batch; empty for the current batch.
        :return: the payload, the step's progress, or a refusal.
        """
        owned = self._step_by_key.get((trainer, step))
        if owned is None:
            return Refusal(
                Reason.OWNER_LOST, not_run=True, detail="this entry does not own the step"
            )
        published = owned.gathering.record_batch_request()
        if published is not None:
            earlier = self._publications_by_trainer.get(trainer, ())
            self._publications_by_trainer[trainer] = (*earlier, published)[
                -PUBLICATION_HISTORY_STEPS:
            ]
        batch = owned.batch or owned.proposed
        if batch is None:
            samples = owned.gathering.complete_samples()
            if samples is None:
                return self._progress(owned)
            batch = build_batch(trainer, step, samples)
        if digest and digest != batch.digest:
            return _conflict("the digest does not match the batch of the step")
        return await self._deliver(owned, batch)

    async def acknowledge(self, trainer: str, step: int, digest: str) -> Progress | Refusal:
        """
        Record that the trainer has received the batch, and stop the step.

        :param digest: digest of the batch that the trainer received.
        :return: progress with the state `acknowledged`, or a refusal.
        """
        result = await self._commands.acknowledge(trainer, step, digest)
        if isinstance(result, Refusal):
            return result
        if result.state != "acknowledged":
            return _conflict("the digest does not match the batch of the step")
        owned = self._step_by_key.pop((trainer, step), None)
        if owned is not None:
            await owned.stop()
        return Progress("acknowledged", 0, 0, 0.0)

    async def publish(self, trainer: str, model: str, version: int) -> Published | Refusal:
        """
        Record a new weight version of a trainer.

        :param model: the model that the trainer's adapter belongs to.
        :param version: increases with each publication.
        :return: the published version, or a refusal.
        """
        result = await self._commands.publish(trainer, model, version)
        return result if isinstance(result, Refusal) else Published(trainer, version)

    async def _start_gathering(
        self, trainer: str, step: int, request: StepRequest, state: StepState
    ) -> Progress | Refusal:
        owned = self._step_by_key.get((trainer, step))
        if owned is not None and owned.gathering.key.epoch == state.epoch:
            # A concurrent request of the trainer has already started this step.
            return self._progress(owned)
        if owned is not None:
            await owned.stop()
        scorer = ScoreBatcher(
            trainer, lambda: self._scorer_addresses(request.scorer), self._counters
        )
        context = GatheringContext(
            endpoints=self._endpoints,
            counters=self._counters,
            client_account=client_account_of(self._lease, trainer),
            current_bound=lambda: staleness_bound_of(self._lease, trainer),
            engines=EngineChoice(self._lease, self._registry, trainer, request.model),
            expected_publications=expected_publications(
                self._publications_by_trainer.get(trainer, ())
            ),
            score=scorer.score if request.scorer else None,
        )
        gathering = Gathering(StepKey(trainer, step, state.epoch), request, context)
        owned = OwnedStep(request, gathering, scorer)
        self._step_by_key[trainer, step] = owned
        gathering.start()
        return self._progress(owned)

    async def _deliver(self, owned: OwnedStep, batch: Batch) -> bytes | Progress | Refusal:
        key = owned.gathering.key
        # The proposed batch is kept until the result of the commit is known: if the response is
        # lost, the delivery may have been committed, and then only the same batch can be delivered.
        owned.proposed = batch
        result = await self._commands.deliver(key, batch)
        if isinstance(result, Refusal):
            return result
        if isinstance(result, BatchStale):
            owned.proposed = None
            owned.gathering.regenerate(result.stale_samples)
            return self._progress(owned)
        if result.epoch != key.epoch or result.batch_digest != batch.digest:
            return await self._drop_lost_step(owned, result)
        if owned.batch is None:
            owned.batch = batch
            await self._stop_and_bill(owned, batch)
        return batch.payload

    async def _drop_lost_step(self, owned: OwnedStep, state: StepState) -> Refusal:
        """Drop a step that was taken over or has ended; its local samples must not be delivered."""
        key = owned.gathering.key
        self._counters.add("steps.lost_epoch")
        self._step_by_key.pop((key.trainer, key.step), None)
        await owned.stop()
        return Refusal(
            Reason.OWNER_LOST,
            not_run=True,
            retry_after_s=RETRY_AFTER_S,
            detail=f"the step is {state.state} under epoch {state.epoch}; send the request again",
        )

    async def _stop_and_bill(self, owned: OwnedStep, batch: Batch) -> None:
        """Stop the work of a delivered step and record its usage once."""
        await owned.stop()
        key = owned.gathering.key
        if self._usage_meter is None:
            return
        for sample in batch.samples:
            self._usage_meter.record(
                client_account_of(self._lease, key.trainer),
                owned.request.model,
                len(sample.tokens),
                1,
                sample.endpoint_s,
                sample.sample_id,
            )

    async def _sweep(self, now: float) -> None:
        """Drop steps that were acknowledged through, or taken over by, another entry."""
        for (trainer, step), owned in tuple(self._step_by_key.items()):
            state = await self._commands.read(trainer, step)
            if isinstance(state, Refusal):
                continue
            if state is not None and may_deliver(state, owned.gathering.key):
                continue
            self._step_by_key.pop((trainer, step), None)
            await owned.stop()

    def _progress(self, owned: OwnedStep) -> Progress:
        state = "open" if owned.batch is None else "delivered"
        return Progress(
            state, owned.gathering.ready_count(), owned.request.sample_count(), RETRY_AFTER_S
        )

    def _may_take_over(self, state: StepState, trainer: str, step: int) -> bool:
        """
        Return whether this entry may take over the step, because no entry holds its samples.

        Either the owner is lost, or this entry owns the step and has dropped the delivered samples.
        """
        if is_own(state, self._commands):
            return state.state == "delivered" and (trainer, step) not in self._step_by_key
        return is_owner_lost(self._lease, state)

    def _scorer_addresses(self, service: str) -> tuple[str, ...]:
        records = self._registry.available_endpoints(service)
        return tuple(record.address for record in records if record.role == "scorer")


def _conflict(detail: str) -> Refusal:
    return Refusal(Reason.CONFLICT, not_run=True, detail=detail)


__all__ = ["Rollouts"]
