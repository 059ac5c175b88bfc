"""The trainers' HTTP routes."""

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
    """What the routes of one trainer share: its key, bodies, and how answers are written."""

    def __init__(
        self, kernel: Kernel, rollouts: TrainerCalls, entry_settings: EntrySettings
    ) -> None:
        self._kernel = kernel
        self._rollouts = rollouts
        self._entry_settings = entry_settings

    def _check(self, request: falcon.asgi.Request, trainer: str) -> Refusal | None:
        caller = identify(self._kernel, request)
        if isinstance(caller, Refusal):
            return caller
        return check_trainer(self._kernel.find("lease"), caller.client_account, trainer)

    async def _body(
        self, request: falcon.asgi.Request, trainer: str, body_type: type[BodyT]
    ) -> BodyT | Refusal:
        refusal = self._check(request, trainer)
        if refusal is not None:
            return refusal
        data = await read_body(request, self._entry_settings)
        return data if isinstance(data, Refusal) else parse_body(data, body_type)

    def _write(
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
        """Open a step."""
        result: StepRequest | Progress | Refusal
        result = await self._body(request, trainer, StepRequest)
        if isinstance(result, StepRequest):
            result = await self._rollouts.open_step(trainer, step, result)
        self._write(request, response, result)


class BatchResource(TrainerResource):
    """`GET /v1/trainers/{trainer}/steps/{step}/batch`."""

    async def on_get(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        trainer: str,
        step: int,
    ) -> None:
        """Fetch the whole batch."""
        refusal = self._check(request, trainer)
        result = refusal or await self._rollouts.fetch(trainer, step)
        if isinstance(result, bytes):
            response.content_type = falcon.MEDIA_JSON
            response.data = result
            return
        self._write(request, response, result, 202)


class AckResource(TrainerResource):
    """`POST /v1/trainers/{trainer}/steps/{step}/ack`."""

    async def on_post(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        trainer: str,
        step: int,
    ) -> None:
        """Take the acknowledgement."""
        result: AckBody | Progress | Refusal
        result = await self._body(request, trainer, AckBody)
        if isinstance(result, AckBody):
            result = await self._rollouts.acknowledge(trainer, step, result.digest)
        self._write(request, response, result)


class VersionResource(TrainerResource):
    """`POST /v1/trainers/{trainer}/versions`."""

    async def on_post(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response, trainer: str
    ) -> None:
        """Take a published version."""
        result: VersionBody | Published | Refusal
        result = await self._body(request, trainer, VersionBody)
        if isinstance(result, VersionBody):
            result = await self._rollouts.publish(trainer, result.model, result.version)
        self._write(request, response, result)


@dataclass(frozen=True)
class AckBody:
    """Body of an acknowledgement."""

    digest: str


@dataclass(frozen=True)
class VersionBody:
    """Body of a publication."""

    model: str
    version: int


def trainer_routes(
    kernel: Kernel, rollouts: TrainerCalls, entry_settings: EntrySettings
) -> tuple[tuple[str, TrainerResource], ...]:
    """
    List the routes.

    :param kernel: holds lease and counters.
    :param rollouts: the service that answers.
    :param entry_settings: the largest body that is taken, and the time for it.
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
