"""Plain services' wire format (docs/API.md, Plain services): which headers are forwarded."""

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
Request headers that are not forwarded: the API key, headers that belong to the caller's connection,
and headers that only this system may set.
"""

FORWARDED_ANSWER_HEADERS = frozenset(
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
"""Response headers that are forwarded; all others are dropped."""


def request_headers(headers: Iterable[tuple[str, str]], key: str) -> tuple[tuple[str, str], ...]:
    """
    Select the caller's headers that are forwarded to an endpoint.

    Any header whose value contains the API key is dropped: a caller may send the key in a second
    header, and no endpoint may receive it.

    :param headers: the caller's headers.
    :param key: the caller's API key.
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
    Select the headers of an endpoint's answer that are forwarded to the caller.

    :param headers: the headers as the endpoint sent them.
    :return: names in lower case with their values.
    """
    kept = []
    for name, value in headers:
        if name.lower() in FORWARDED_ANSWER_HEADERS:
            kept.append((name.lower(), value))
    return tuple(kept)


__all__ = ["answer_headers", "request_headers"]
