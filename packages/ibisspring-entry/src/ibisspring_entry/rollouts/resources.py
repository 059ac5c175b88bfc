"""HTTP routes on which trainers open steps, fetch and acknowledge batches, publish versions."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

import falcon
import falcon.asgi
import msgspec

from ibisspring_core.errors import Refusal
from ibisspring_entry.http.bodies import parse_body, read_body
from ibisspring_entry.http.callers import identify
from ibisspring_entry.http.refusals import refuse
from ibisspring_entry.rollouts.step_request import StepRequest
from ibisspring_entry.rollouts.trainer_rules import check_trainer

if TYPE_CHECKING:
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.settings import EntrySettings
    from ibisspring_entry.rollouts.peer_batches import Progress
    from ibisspring_entry.rollouts.trainer_calls import Published, TrainerCalls

BodyT = TypeVar("BodyT")


class TrainerResource:
    """Base of the trainer routes: checks the key, reads the body and writes the response."""

    def __init__(
        self, kernel: Kernel, rollouts: TrainerCalls, entry_settings: EntrySettings
    ) -> None:
        self._kernel = kernel
        self._rollouts = rollouts
        self._entry_settings = entry_settings

    def _authorize(self, request: falcon.asgi.Request, trainer: str) -> Refusal | None:
        caller = identify(self._kernel, request)
        if isinstance(caller, Refusal):
            return caller
        return check_trainer(self._kernel.find("lease"), caller.client_account, trainer)

    async def _read_body(
        self, request: falcon.asgi.Request, trainer: str, body_type: type[BodyT]
    ) -> BodyT | Refusal:
        refusal = self._authorize(request, trainer)
        if refusal is not None:
            return refusal
        data = await read_body(request, self._entry_settings)
        return data if isinstance(data, Refusal) else parse_body(data, body_type)

    def _write_response(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        result: Progress | Published | Refusal,
        status: int = 200,
    ) -> None:
        if isinstance(result, Refusal):
            refuse(response, result, request.context.request_id, self._kernel.find("counters"))
            return
        response.status = falcon.code_to_http_status(status)
        response.content_type = falcon.MEDIA_JSON
        response.data = msgspec.json.encode(result)


class StepResource(TrainerResource):
    """`POST /v1/trainers/{trainer}/steps/{step}`."""

    async def on_post(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        trainer: str,
        step: int,
    ) -> None:
        """Open a training step and respond with its progress."""
        result: StepRequest | Progress | Refusal
        result = await self._read_body(request, trainer, StepRequest)
        if isinstance(result, StepRequest):
            result = await self._rollouts.open_step(trainer, step, result)
        self._write_response(request, response, result)


class BatchResource(TrainerResource):
    """`GET /v1/trainers/{trainer}/steps/{step}/batch`."""

    async def on_get(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        trainer: str,
        step: int,
    ) -> None:
        """Respond with the complete batch, or with 202 and the step's progress."""
        refusal = self._authorize(request, trainer)
        result = refusal or await self._rollouts.fetch(trainer, step)
        if isinstance(result, bytes):
            response.content_type = falcon.MEDIA_JSON
            response.data = result
            return
        self._write_response(request, response, result, 202)


class AckResource(TrainerResource):
    """`POST /v1/trainers/{trainer}/steps/{step}/ack`."""

    async def on_post(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        trainer: str,
        step: int,
    ) -> None:
        """Record that the trainer has received the batch."""
        result: AckBody | Progress | Refusal
        result = await self._read_body(request, trainer, AckBody)
        if isinstance(result, AckBody):
            result = await self._rollouts.acknowledge(trainer, step, result.digest)
        self._write_response(request, response, result)


class VersionResource(TrainerResource):
    """`POST /v1/trainers/{trainer}/versions`."""

    async def on_post(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response, trainer: str
    ) -> None:
        """Record a weight version that the trainer has published."""
        result: VersionBody | Published | Refusal
        result = await self._read_body(request, trainer, VersionBody)
        if isinstance(result, VersionBody):
            result = await self._rollouts.publish(trainer, result.model, result.version)
        self._write_response(request, response, result)


@dataclass(frozen=True)
class AckBody:
    """Body of a trainer's acknowledgement: the digest of the received batch."""

    digest: str


@dataclass(frozen=True)
class VersionBody:
    """Body with which a trainer publishes a weight version of a model."""

    model: str
    version: int


def trainer_routes(
    kernel: Kernel, rollouts: TrainerCalls, entry_settings: EntrySettings
) -> tuple[tuple[str, TrainerResource], ...]:
    """
    Return the HTTP routes for trainers.

    :param kernel: registry in which the routes find the services lease and counters.
    :param rollouts: the service that handles the requests.
    :param entry_settings: contains the size limit of a body and the time limit to receive it.
    :return: pairs of path and resource.
    """
    step = "/v1/trainers/{trainer}/steps/{step:int(min=0)}"
    resources = {
        step: StepResource,
        f"{step}/batch": BatchResource,
        f"{step}/ack": AckResource,
        "/v1/trainers/{trainer}/versions": VersionResource,
    }
    return tuple(
        (path, resource(kernel, rollouts, entry_settings)) for path, resource in resources.items()
    )


__all__ = ["trainer_routes"]
