"""
The identity of a request: what stays the same when its caller sends it again.

Each attempt of a caller has an id of its own, so the id cannot tell that two attempts are the same
request. The identity has two parts, the digest of the head and that of the body. A body may have
many megabytes and is digested only where the head is known.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

HEAD_DIGEST_BYTES = 8
BODY_DIGEST_BYTES = 16
HEAD_CHARS = 2 * HEAD_DIGEST_BYTES


@dataclass(frozen=True)
class IdentifiedRequest:
    """
    A request with all that its identity depends on, and the id of this attempt.

    :param request_id: id of this attempt, which is not part of the identity.
    :param client_account: account of the caller; empty on a public route.
    :param method: HTTP method, or the kind of call.
    :param host: host or service that the caller named.
    :param target: path and query, or what stands in their place.
    """

    request_id: str
    client_account: str
    method: str
    host: str
    target: str
    body: bytes

    def head(self) -> str:
        """Return the hex digest of all parts but the body."""
        digest = hashlib.blake2b(digest_size=HEAD_DIGEST_BYTES)
        for part in (self.method, self.host, self.target, self.client_account):
            encoded = part.encode("utf-8", "surrogateescape")
            digest.update(len(encoded).to_bytes(4, "big"))
            digest.update(encoded)
        return digest.hexdigest()

    def identity(self) -> str:
        """Return the hex digest of the head, followed by that of the body."""
        body = hashlib.blake2b(self.body, digest_size=BODY_DIGEST_BYTES)
        return self.head() + body.hexdigest()


__all__ = ["HEAD_CHARS", "IdentifiedRequest"]
