"""Bodies of requests: bounded, and checked against a data class."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import msgspec

from ibisspring_core.errors import Reason, Refusal

if TYPE_CHECKING:
    import falcon.asgi

BodyT = TypeVar("BodyT")


async def read_body(request: falcon.asgi.Request, max_bytes: int) -> bytes | Refusal:
    """
    Read a whole body.

    :param request: the request.
    :param max_bytes: the largest body that is taken.
    :return: the body, or the refusal of a larger one, of which no more than `max_bytes` was read.
    """
    too_large = Refusal(Reason.TOO_LARGE, True, None, f"the body is over {max_bytes} bytes")
    if (request.content_length or 0) > max_bytes:
        return too_large
    body = bytearray()
    async for chunk in request.stream:
        body.extend(chunk)
        if len(body) > max_bytes:
            return too_large
    return bytes(body)


def parse_body(body: bytes, body_type: type[BodyT]) -> BodyT | Refusal:
    """
    Parse a JSON body.

    :param body: the bytes.
    :param body_type: the data class that it must fit.
    :return: the object, or a refusal that says what does not fit.
    """
    try:
        return msgspec.json.decode(body, type=body_type)
    except msgspec.DecodeError as error:
        return Refusal(Reason.BAD_REQUEST, True, None, f"the body does not fit: {error}")


__all__ = ["parse_body", "read_body"]
