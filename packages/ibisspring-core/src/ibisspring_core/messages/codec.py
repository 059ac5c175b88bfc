"""Encodes frozen data classes to msgpack, alone or as pairs of kind (class name) and body."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

MessageT = TypeVar("MessageT")


def encode(message: Any) -> bytes:
    """
    Encode a data class to msgpack without its kind, for a receiver that knows the type.

    :param message: a data class of `ibisspring_core.messages`.
    """
    return msgspec.msgpack.encode(message)


def decode(data: bytes, message_type: type[MessageT]) -> MessageT:
    """
    Decode and validate a data class that `encode` encoded without its kind.

    :param data: bytes from `encode`.
    :param message_type: the data class that was encoded.
    :return: the message; raises `msgspec.ValidationError` if the data does not match the type.
    """
    return msgspec.msgpack.decode(data, type=message_type)


class KindCodec:
    """Encodes a closed set of data classes as pairs of kind and body."""

    def __init__(self, type_by_kind: dict[str, type[Any]]) -> None:
        self.type_by_kind = type_by_kind
        self._kind_by_type = {kind_type: kind for kind, kind_type in type_by_kind.items()}

    @classmethod
    def from_types(cls, *types: type[Any]) -> KindCodec:
        """
        Build a codec for a set of data classes, in which a message's kind is its class name.

        :param types: all data classes that the codec can encode and decode.
        """
        return cls({kind_type.__name__: kind_type for kind_type in types})

    def encode(self, message: Any) -> bytes:
        """Encode a message of the set to msgpack, as a pair of its kind and its fields."""
        return msgspec.msgpack.encode((self._kind_by_type[type(message)], message))

    def decode(self, data: bytes) -> Any:
        """
        Decode a message of the set to the type that its kind names.

        :param data: bytes from `encode`.
        :return: the message; raises `msgspec.ValidationError` if the kind is unknown or the
            body invalid.
        """
        kind, body = msgspec.msgpack.decode(data, type=tuple[str, msgspec.Raw])
        if kind not in self.type_by_kind:
            raise msgspec.ValidationError(f"unknown message kind {kind!r}")
        return msgspec.msgpack.decode(body, type=self.type_by_kind[kind])


__all__ = ["KindCodec", "decode", "encode"]
