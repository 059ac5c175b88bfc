from __future__ import annotations

import msgspec
import pytest

from ibisspring_core.messages.commands import COMMANDS, AddUsage, UsageRecord


def test_decoded_command_equals_the_encoded_one() -> None:
    command = AddUsage("e1", 3, 7, 12, (UsageRecord("stoke-foundry", "scorer-lm", tokens=40),))

    assert COMMANDS.decode(COMMANDS.encode(command)) == command


def test_unknown_message_kind_raises_validation_error() -> None:
    with pytest.raises(msgspec.ValidationError, match="unknown message kind"):
        COMMANDS.decode(msgspec.msgpack.encode(("Nonsense", {})))
