"""Reads request bodies within a size and time limit and decodes them into a data class."""

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
    Read the complete body of a request.

    The time limit for the complete body is `caller_silence_s`: without it, a caller that stops
    sending in the middle of the body would keep the request open forever.

    :param request: the request whose body is read.
    :param settings: contains the size limit `max_body_bytes` and the time limit `caller_silence_s`.
    :return: the body, or a refusal if it is too large or too slow; in both cases the request was
        not run.
    """
    max_bytes = settings.max_body_bytes
    too_large = Refusal(Reason.TOO_LARGE, True, None, f"the body is larger than {max_bytes} bytes")
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
        return Refusal(
            Reason.TIMEOUT, True, None, "the body was not received within the time limit"
        )
    return bytes(body)


def parse_body(body: bytes, body_type: type[BodyT]) -> BodyT | Refusal:
    """
    Decode the JSON body of a caller's request.

    :param body: the complete body.
    :param body_type: the data class to decode into.
    :return: the decoded object, or a refusal with the decoding error.
    """
    try:
        return decode_json(body, body_type)
    except msgspec.DecodeError as error:
        return Refusal(Reason.BAD_REQUEST, True, None, f"invalid body: {error}")


__all__ = ["parse_body", "read_body"]
