"""A batch through another entry than the one that holds it, by EntryPeer.FetchBatch."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import grpc

from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.pb import entry_peer_pb2, entry_peer_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

CHUNK_BYTES = 256 * 1024
FETCH_TIMEOUT_S = 30.0


@dataclass(frozen=True)
class Progress:
    """
    How far a step is.

    :param state: `open`, `delivered` or `acknowledged`.
    """

    state: str
    ready: int
    samples: int
    retry_after_s: float


async def serve_batch(
    rollouts: Any, request: entry_peer_pb2.FetchBatchRequest
) -> AsyncIterator[entry_peer_pb2.BatchChunk]:
    """
    Answer another entry; the handler of `EntryPeer.FetchBatch`.

    :param rollouts: the kernel's `rollouts`.
    :param request: trainer, step and digest.
    :return: the payload in chunks, or one chunk that says why it is not there.
    """
    result = await rollouts.payload_of(request.trainer, request.step, request.batch_digest)
    if isinstance(result, bytes):
        for start in range(0, len(result), CHUNK_BYTES):
            yield entry_peer_pb2.BatchChunk(found=True, data=result[start : start + CHUNK_BYTES])
        yield entry_peer_pb2.BatchChunk(found=True, state="end")
        return
    if isinstance(result, Progress):
        yield entry_peer_pb2.BatchChunk(
            state=result.state,
            ready=result.ready,
            samples=result.samples,
            retry_after_s=result.retry_after_s,
        )
        return
    yield entry_peer_pb2.BatchChunk(
        state="refused",
        reason=result.reason.value,
        retry_after_s=result.retry_after_s or 0.0,
        detail=result.detail,
    )


async def fetch_from_peer(
    address: str, trainer: str, step: int, digest: str
) -> bytes | Progress | Refusal:
    """
    Ask the entry that owns a step for its batch.

    :param address: IP:port of its gRPC.
    :param digest: the batch that is meant; empty for whichever is in force.
    :return: the payload, how far the step is, or a refusal. A stream that ends without its end
        chunk is no payload: the owner died on the way.
    """
    request = entry_peer_pb2.FetchBatchRequest(trainer=trainer, step=step, batch_digest=digest)
    data = bytearray()
    try:
        async with grpc.aio.insecure_channel(address) as channel:
            stub = entry_peer_pb2_grpc.EntryPeerStub(channel)
            async for chunk in stub.FetchBatch(request, timeout=FETCH_TIMEOUT_S):
                if not chunk.found:
                    return _not_found(chunk)
                if chunk.state == "end":
                    return bytes(data)
                data.extend(chunk.data)
    except grpc.aio.AioRpcError as error:
        return _peer_refusal(error.details() or "")
    return _peer_refusal("the owner's stream ended early")


def _not_found(chunk: entry_peer_pb2.BatchChunk) -> Progress | Refusal:
    if chunk.state != "refused":
        return Progress(chunk.state, chunk.ready, chunk.samples, chunk.retry_after_s)
    return Refusal(
        Reason(chunk.reason),
        not_run=True,
        retry_after_s=chunk.retry_after_s or None,
        detail=chunk.detail,
    )


def _peer_refusal(detail: str) -> Refusal:
    return Refusal(Reason.TIMEOUT, not_run=True, retry_after_s=1.0, detail=detail)


__all__ = ["Progress", "fetch_from_peer", "serve_batch"]
