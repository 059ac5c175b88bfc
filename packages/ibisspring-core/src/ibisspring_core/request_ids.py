"""Request ids that contain their creation time."""

from __future__ import annotations

import re
import secrets

from ibisspring_core.clock import wall_now

_TIMED_ID = re.compile(r"(\d{13})-[0-9a-f]{16}\Z")
_MS = 1000.0


def new_request_id() -> str:
    """
    Create a random request id that contains the time of its creation.

    From the time in the id, the state machine detects and refuses a resent command that arrives
    after the result of the first attempt was deleted. Without the time, the command would be
    applied twice.

    :return: milliseconds since 1970, a hyphen and 16 random hexadecimal digits.
    """
    return f"{int(wall_now() * _MS):013d}-{secrets.token_hex(8)}"


def creation_time_s(request_id: str) -> float | None:
    """
    Return the creation time that a request id contains.

    :param request_id: a request id from any source.
    :return: seconds since 1970; None if the id was not created by `new_request_id`.
    """
    match = _TIMED_ID.match(request_id)
    if match is None:
        return None
    return int(match.group(1)) / _MS


__all__ = ["creation_time_s", "new_request_id"]
