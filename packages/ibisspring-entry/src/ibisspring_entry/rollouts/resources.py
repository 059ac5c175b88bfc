"""The trainers' HTTP routes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import falcon
import msgspec

from ibisspring_core.errors import Reason, Refusal
from ibisspring_entry.rollouts.step_request import parse_step_request

if TYPE_CHECKING:
    from ibisspring_entry.rollouts.peer_batches import Progress

BEARER = "bearer "
STATUS_BY_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.UNKNOWN_KEY: 401,
    Reason.KEY_WITHDRAWN: 401,
    Reason.NOT_ALLOWED: 403,
    Reason.CONFLICT: 409,
    Reason.OWNER_LOST: 409,
    Reason.STALE: 409,
}


class TrainerResource:
    """What the routes of one trainer share: its key and how answers are written."""

    def __init__(self, rollouts: Any) -> None:
        self._rollouts = rollouts

    def _check(self, request: falcon.Request, trainer: str) -> Refusal | None:
        header = request.get_header("Authorization") or ""
        key = header[len(BEARER) :] if header.lower().startswith(BEARER) else ""
        return self._rollouts.check_trainer(key.strip(), trainer)


class StepResource(TrainerResource):
    """`POST /v1/trainers/{trainer}/steps/{step}`."""

    async def on_post(self, request: Any, response: Any, trainer: str, step: int) -> None:
        """Open a step."""
        refusal = self._check(request, trainer)
        if refusal is not None:
            write_refusal(response, refusal)
            return
        parsed = parse_step_request(await request.stream.read())
        if isinstance(parsed, Refusal):
            write_refusal(response, parsed)
            return
        write_progress(response, await self._rollouts.open_step(trainer, step, parsed), 200)


class BatchResource(TrainerResource):
    """`GET /v1/trainers/{trainer}/steps/{step}/batch`."""

    async def on_get(self, request: Any, response: Any, trainer: str, step: int) -> None:
        """Fetch the whole batch."""
        refusal = self._check(request, trainer)
        if refusal is not None:
            write_refusal(response, refusal)
            return
        result = await self._rollouts.fetch(trainer, step)
        if isinstance(result, bytes):
            response.content_type = falcon.MEDIA_JSON
            response.data = result
            return
        write_progress(response, result, 202)


class AckResource(TrainerResource):
    """`POST /v1/trainers/{trainer}/steps/{step}/ack`."""

    async def on_post(self, request: Any, response: Any, trainer: str, step: int) -> None:
        """Take the acknowledgement."""
        refusal = self._check(request, trainer)
        if refusal is not None:
            write_refusal(response, refusal)
            return
        body = _decode(await request.stream.read(), AckBody)
        if isinstance(body, Refusal):
            write_refusal(response, body)
            return
        result = await self._rollouts.acknowledge(trainer, step, body.digest)
        write_progress(response, result, 200)


class VersionResource(TrainerResource):
    """`POST /v1/trainers/{trainer}/versions`."""

    async def on_post(self, request: Any, response: Any, trainer: str) -> None:
        """Take a published version."""
        refusal = self._check(request, trainer)
        if refusal is not None:
            write_refusal(response, refusal)
            return
        body = _decode(await request.stream.read(), VersionBody)
        if isinstance(body, Refusal):
            write_refusal(response, body)
            return
        result = await self._rollouts.publish(trainer, body.model, body.version)
        if isinstance(result, Refusal):
            write_refusal(response, result)
            return
        _write_json(response, 200, {"trainer": trainer, "version": result.version})


class AckBody(msgspec.Struct, frozen=True):
    """Body of an acknowledgement."""

    digest: str


class VersionBody(msgspec.Struct, frozen=True):
    """Body of a publication."""

    model: str
    version: int


def trainer_routes(rollouts: Any) -> tuple[tuple[str, TrainerResource], ...]:
    """
    List the routes.

    :param rollouts: the service that answers.
    :return: pairs of path and resource.
    """
    step = "/v1/trainers/{trainer}/steps/{step:int(min=0)}"
    return (
        (step, StepResource(rollouts)),
        (f"{step}/batch", BatchResource(rollouts)),
        (f"{step}/ack", AckResource(rollouts)),
        ("/v1/trainers/{trainer}/versions", VersionResource(rollouts)),
    )


def write_refusal(response: Any, refusal: Refusal) -> None:
    """
    Write a refusal as docs/API.md has it.

    :param refusal: why the trainer's request was not served.
    """
    if refusal.retry_after_s is not None:
        response.set_header("Retry-After", str(math.ceil(refusal.retry_after_s)))
    error = {
        "reason": refusal.reason.value,
        "message": refusal.detail,
        "not_run": refusal.not_run,
        "retry_after_s": refusal.retry_after_s,
        "request_id": "",
    }
    status = STATUS_BY_REASON.get(refusal.reason, 503)
    _write_json(response, status, {"error": error})


def write_progress(response: Any, result: Progress | Refusal, status: int) -> None:
    """
    Write how far a step is.

    :param status: HTTP status for progress.
    """
    if isinstance(result, Refusal):
        write_refusal(response, result)
        return
    body = {
        "state": result.state,
        "ready": result.ready,
        "samples": result.samples,
        "retry_after_s": result.retry_after_s,
    }
    _write_json(response, status, body)


def _write_json(response: Any, status: int, body: Any) -> None:
    response.status = status
    response.content_type = falcon.MEDIA_JSON
    response.data = msgspec.json.encode(body)


def _decode(data: bytes, body_type: Any) -> Any:
    try:
        return msgspec.json.decode(data, type=body_type)
    except msgspec.DecodeError as error:
        return Refusal(Reason.BAD_REQUEST, not_run=True, detail=str(error))


__all__ = ["trainer_routes"]
