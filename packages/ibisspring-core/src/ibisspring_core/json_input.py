"""Decodes JSON from untrusted senders."""

from __future__ import annotations

from typing import TypeVar

import msgspec

T = TypeVar("T")


def decode_json(data: bytes, kind: type[T]) -> T:
    """
    Decode a JSON document to a value of a given type.

    :param data: UTF-8 from an untrusted sender.
    :param kind: the type of the value to return; one that msgspec can decode.
    :raises msgspec.DecodeError: if the data is not JSON, not of that type, or nested too deeply.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except RecursionError as error:
        # msgspec also parses the contents of unknown fields, recursively up to the interpreter's
        # recursion limit, which a sender can exceed with nested brackets.
        raise msgspec.DecodeError("nested too deeply") from error


__all__ = ["decode_json"]
