"""Plain services' wire format (docs/API.md, Plain services): which headers go on, either way."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

DROPPED_REQUEST_HEADERS = frozenset(
    (
        "authorization",
        "connection",
        "content-length",
        "cookie",
        "expect",
        "host",
        "keep-alive",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-client-account",
        "x-correlation-id",
        "x-not-run",
        "x-request-id",
    )
)
"""
The key, what belongs to the caller's connection, and what only this system may tell an endpoint.
"""

KEPT_ANSWER_HEADERS = frozenset(
    (
        "cache-control",
        "content-disposition",
        "content-encoding",
        "content-language",
        "content-type",
        "etag",
        "last-modified",
        "location",
        "retry-after",
        "vary",
    )
)


def request_headers(headers: Iterable[tuple[str, str]], key: str) -> tuple[tuple[str, str], ...]:
    """
    Choose the caller's headers that may go on to an endpoint.

    A header that holds the key under any name is dropped: a caller may send it twice, and no
    endpoint may see it.

    :param headers: the caller's headers.
    :param key: the caller's key.
    :return: names in lower case with their values.
    """
    kept = []
    for name, value in headers:
        if name.lower() in DROPPED_REQUEST_HEADERS:
            continue
        if key and key in value:
            continue
        kept.append((name.lower(), value))
    return tuple(kept)


def answer_headers(headers: Iterable[tuple[str, str]]) -> tuple[tuple[str, str], ...]:
    """
    Choose an endpoint's headers that may go on to the caller.

    :param headers: the endpoint's headers.
    :return: names in lower case with their values.
    """
    kept = []
    for name, value in headers:
        if name.lower() in KEPT_ANSWER_HEADERS:
            kept.append((name.lower(), value))
    return tuple(kept)


__all__ = ["answer_headers", "request_headers"]
