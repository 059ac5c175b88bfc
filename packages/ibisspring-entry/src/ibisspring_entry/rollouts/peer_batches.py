"""Transfers a batch from the entry that owns it to another entry, by EntryPeer.FetchBatch."""

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
    The progress of a training step, as its trainer receives it.

    :param state: `open`, `delivered` or `acknowledged`.
    :param ready: number of finished samples.
    :param samples: number of samples in the complete batch.
    :param retry_after_s: seconds after which the trainer should send its request again.
    """

    state: str
    ready: int
    samples: int
    retry_after_s: float


async def serve_batch(
    rollouts: Any, request: entry_peer_pb2.FetchBatchRequest
) -> AsyncIterator[entry_peer_pb2.BatchChunk]:
    """
    Handle `EntryPeer.FetchBatch`: send a batch to another entry.

    :param rollouts: the kernel's service `rollouts`, which holds the batch.
    :param request: trainer, step and digest of the expected batch.
    :return: the payload in chunks, or one chunk with the step's progress or a refusal.
    """
    result = await rollouts.fetch_owned(request.trainer, request.step, request.batch_digest)
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
    Fetch a batch from the entry that owns the step.

    :param address: IP:port of the owner's gRPC server.
    :param digest: digest of the expected batch; empty for the current batch.
    :return: the payload, the step's progress, or a refusal. A stream without the end chunk is
        rejected, because the owner failed before it had sent the complete payload.
    """
    request = entry_peer_pb2.FetchBatchRequest(trainer=trainer, step=step, batch_digest=digest)
    data = bytearray()
    try:
        async with grpc.aio.insecure_channel(address) as channel:
            stub = entry_peer_pb2_grpc.EntryPeerStub(channel)
            async for chunk in stub.FetchBatch(request, timeout=FETCH_TIMEOUT_S):
                if not chunk.found:
                    return _reply_without_batch(chunk)
                if chunk.state == "end":
                    return bytes(data)
                data.extend(chunk.data)
    except grpc.aio.AioRpcError as error:
        return _peer_timeout(error.details() or "")
    return _peer_timeout("the owner closed the stream before the batch was complete")


def _reply_without_batch(chunk: entry_peer_pb2.BatchChunk) -> Progress | Refusal:
    if chunk.state != "refused":
        return Progress(chunk.state, chunk.ready, chunk.samples, chunk.retry_after_s)
    return Refusal(
        Reason(chunk.reason),
        not_run=True,
        retry_after_s=chunk.retry_after_s or None,
        detail=chunk.detail,
    )


def _peer_timeout(detail: str) -> Refusal:
    return Refusal(Reason.TIMEOUT, not_run=True, retry_after_s=1.0, detail=detail)


__all__ = ["Progress", "fetch_from_peer", "serve_batch"]
