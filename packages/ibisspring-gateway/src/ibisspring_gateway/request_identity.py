"""
The identity of a request: what stays the same when its caller sends it again.

Each attempt of a caller has an id of its own, so the id cannot tell that two attempts are the same
request. The identity has two parts, the digest of the head and that of the body. A body may have
many megabytes and is digested only where the head is known.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ibisspring_gateway.wire import CallerRequest

HEAD_DIGEST_BYTES = 8
BODY_DIGEST_BYTES = 16
HEAD_CHARS = 2 * HEAD_DIGEST_BYTES


def head_of(request: CallerRequest) -> str:
    """Return the hex digest of a request's method, host, path, query and client account."""
    hosts = [value for name, value in request.headers if name.lower() == "host"]
    digest = hashlib.blake2b(digest_size=HEAD_DIGEST_BYTES)
    for part in (request.method, hosts[0] if hosts else "", request.target, request.client_account):
        encoded = part.encode("utf-8", "surrogateescape")
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    return digest.hexdigest()


def identity_of(request: CallerRequest) -> str:
    """Return the hex digest of a request's head, followed by that of its body."""
    body = hashlib.blake2b(request.body, digest_size=BODY_DIGEST_BYTES)
    return head_of(request) + body.hexdigest()


__all__ = ["HEAD_CHARS", "head_of", "identity_of"]
