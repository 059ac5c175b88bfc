"""Reads JSON that comes from outside."""

from __future__ import annotations

from typing import TypeVar

import msgspec

T = TypeVar("T")


def decode_json(data: bytes, kind: type[T]) -> T:
    """
    Decode a document.

    :param data: UTF-8, from a peer that may send anything.
    :param kind: a type that msgspec can decode.
    :return: the value.
    :raises msgspec.DecodeError: where it is no JSON, not of that type, or nested too deeply.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except RecursionError as error:
        # msgspec follows unknown fields as deep as they go and stops at the interpreter's limit.
        raise msgspec.DecodeError("nested too deeply") from error


__all__ = ["decode_json"]
