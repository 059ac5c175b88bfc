"""Request ids that carry the time at which they were made."""

from __future__ import annotations

import re
import secrets

from ibisspring_core.clock import wall_now

_TIMED_ID = re.compile(r"(\d{13})-[0-9a-f]{16}\Z")
_MS = 1000.0


def new_request_id() -> str:
    """
    Make a request id.

    The time in it lets the state machine refuse a resend that comes after the first result was
    forgotten; without it such a resend would be applied a second time.

    :return: milliseconds since the epoch, a hyphen and 16 random hexadecimal digits.
    """
    return f"{int(wall_now() * _MS):013d}-{secrets.token_hex(8)}"


def created_s_of(request_id: str) -> float | None:
    """
    Read the time in a request id.

    :param request_id: an id from `new_request_id`, or any other.
    :return: seconds since the epoch, or None where the id carries no time.
    """
    match = _TIMED_ID.match(request_id)
    if match is None:
        return None
    return int(match.group(1)) / _MS


__all__ = ["created_s_of", "new_request_id"]
