"""Bodies of requests: bounded, and checked against a data class."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

import msgspec

from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.json_input import decode_json

if TYPE_CHECKING:
    import falcon.asgi

    from ibisspring_core.settings import EntrySettings

BodyT = TypeVar("BodyT")


async def read_body(request: falcon.asgi.Request, settings: EntrySettings) -> bytes | Refusal:
    """
    Read a whole body.

    A caller whose connection went silent in the middle of its body would hold the request for ever,
    so the whole body has `caller_silence_s`.

    :param request: the request.
    :param settings: the largest body that is taken, and the time for it.
    :return: the body, or the refusal of one that is too large or too slow; not run in either case.
    """
    max_bytes = settings.max_body_bytes
    too_large = Refusal(Reason.TOO_LARGE, True, None, f"the body is over {max_bytes} bytes")
    if (request.content_length or 0) > max_bytes:
        return too_large
    body = bytearray()
    try:
        async with asyncio.timeout(settings.caller_silence_s):
            async for chunk in request.stream:
                body.extend(chunk)
                if len(body) > max_bytes:
                    return too_large
    except TimeoutError:
        return Refusal(Reason.TIMEOUT, True, None, "the body did not come in time")
    return bytes(body)


def parse_body(body: bytes, body_type: type[BodyT]) -> BodyT | Refusal:
    """
    Parse a JSON body.

    :param body: the bytes.
    :param body_type: the data class that it must fit.
    :return: the object, or a refusal that says what does not fit.
    """
    try:
        return decode_json(body, body_type)
    except msgspec.DecodeError as error:
        return Refusal(Reason.BAD_REQUEST, True, None, f"the body does not fit: {error}")


__all__ = ["parse_body", "read_body"]
