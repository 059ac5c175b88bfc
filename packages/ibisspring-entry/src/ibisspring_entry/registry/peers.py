"""The exchange with the other entries: one task per peer, and the server of EntryPeer."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import eliot
import grpc
import xxhash

from ibisspring_core.clock import boot_now
from ibisspring_core.errors import Refusal
from ibisspring_core.messages.endpoints import EndpointLoad
from ibisspring_core.pb import entry_peer_pb2, entry_peer_pb2_grpc
from ibisspring_entry.registry.peer_sent import SentToPeer
from ibisspring_entry.registry.peer_wire import pack, take_all
from ibisspring_entry.rollouts.peer_batches import serve_batch

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterable

    from ibisspring_core.endpoint_table import EndpointTable
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.messages.views import PeerRecord
    from ibisspring_core.settings import Settings

EXCHANGE_EVERY_S = 1.0
DIGEST_EVERY = 2
"""Every so many exchanges carry the digest, so that a gap is repaired within about two seconds."""

EXCHANGE_TIMEOUT_S = 2.0
TOLD_TTL_S = 5.0
STOP_GRACE_S = 1.0
CHANNEL_OPTIONS = (
    # The library's own backoff grows to two minutes: a peer back from a restart would stay unheard.
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.use_local_subchannel_pool", 1),
)


@dataclass(frozen=True)
class ToldByPeer:
    """
    What a peer is asked for.

    :param heard_at: when it told, on this entry's boot clock.
    :param demand_by_client_account: requests a second.
    :param wanted_by_service: requests under way or waiting.
    """

    heard_at: float
    demand_by_client_account: dict[str, float]
    wanted_by_service: dict[str, float]


def begins_exchange(daemon: str, peer: str) -> bool:
    """
    Tell which entry of a pair calls the other; an answer carries as much as a call.

    :param daemon: this entry.
    :param peer: the other one.
    :return: the same on both sides for one of them only, spread evenly over all entries.
    """
    first, second = sorted((daemon, peer))
    even = xxhash.xxh64_intdigest(f"{first} {second}".encode()) % 2 == 0
    return daemon == (first if even else second)


class PeerExchange:
    """Hands this entry's endpoint records to the peers and takes theirs."""

    def __init__(self, daemon: str, listen: str, table: EndpointTable) -> None:
        self._daemon = daemon
        self._listen = listen
        self._table = table
        self._task_by_daemon: dict[str, asyncio.Task[None]] = {}
        self._peer_by_daemon: dict[str, PeerRecord] = {}
        self._told_by_daemon: dict[str, ToldByPeer] = {}
        self._answered_by_daemon: dict[str, SentToPeer] = {}
        self._server: grpc.aio.Server | None = None
        self.demand_by_client_account: dict[str, float] = {}
        self.wanted_by_service: dict[str, float] = {}

    @classmethod
    def from_config(cls, settings: Settings, table: EndpointTable) -> PeerExchange:
        """
        Build the exchange.

        :param settings: settings of a daemon with the entry role.
        :param table: this entry's table.
        :return: the exchange.
        """
        return cls(settings.daemon, settings.entry.listen_peer, table)

    async def start(self, kernel: Kernel) -> None:
        """
        Listen for peers and follow the view's list of them.

        :param kernel: the daemon's kernel.
        """
        self._kernel = kernel
        self._lease = kernel.find("lease")
        self._counters = kernel.find("counters")
        self._server = grpc.aio.server()
        entry_peer_pb2_grpc.add_EntryPeerServicer_to_server(
            PeerServicer(self, kernel), self._server
        )
        self._server.add_insecure_port(self._listen)
        await self._server.start()
        kernel.find("timer").subscribe("peers", EXCHANGE_EVERY_S, self._follow_view)

    async def stop(self) -> None:
        """Stop talking to the peers."""
        for task in self._task_by_daemon.values():
            task.cancel()
        await self._server.stop(STOP_GRACE_S)

    async def _follow_view(self, now: float) -> None:
        view = self._lease.view()
        # A lapsed lease says nothing about the peers: the last known ones are kept, since what they
        # know of the endpoints stays true.
        if not isinstance(view, Refusal):
            self._peer_by_daemon = dict(view.peer_by_daemon)
            self._peer_by_daemon.pop(self._daemon, None)
        for daemon in list(self._task_by_daemon):
            if daemon not in self._peer_by_daemon:
                self._task_by_daemon.pop(daemon).cancel()
        for daemon in self._peer_by_daemon:
            if not begins_exchange(self._daemon, daemon):
                continue
            talking = self._task_by_daemon.get(daemon)
            if talking is None or talking.done():
                self._task_by_daemon[daemon] = asyncio.create_task(self._talk(daemon))

    async def _talk(self, daemon: str) -> None:
        """Exchange with one peer until it leaves the view, over one channel while that works."""
        channel: grpc.aio.Channel | None = None
        address = ""
        sent = SentToPeer()
        number = 0
        try:
            while True:
                peer = self._peer_by_daemon[daemon]
                if channel is None or address != peer.peer_address:
                    address = peer.peer_address
                    channel = grpc.aio.insecure_channel(address, CHANNEL_OPTIONS)
                with_digest = number % DIGEST_EVERY == 0
                number += 1
                if not await self._exchange(daemon, channel, sent, with_digest):
                    # A channel that the network lost track of stays silent for good while a new one
                    # works: the deadline ends it.
                    await channel.close()
                    channel = None
                await asyncio.sleep(EXCHANGE_EVERY_S)
        finally:
            if channel is not None:
                await channel.close()

    async def _exchange(
        self, daemon: str, channel: grpc.aio.Channel, sent: SentToPeer, with_digest: bool
    ) -> bool:
        began = boot_now()
        delta = sent.delta(self._table.heard(), began)
        records, ages_s = pack(delta.whole, began)
        request = entry_peer_pb2.ExchangeRequest(
            daemon=self._daemon,
            endpoints=records,
            ages_s=ages_s,
            refreshes=delta.refreshes,
            digest=self._table.digest() if with_digest else 0,
            unheard=self._table.unheard(began) if with_digest else (),
            demand_by_client_account=self.demand_by_client_account,
            wanted_by_service=self.wanted_by_service,
        )
        stub = entry_peer_pb2_grpc.EntryPeerStub(channel)
        try:
            reply = await stub.Exchange(request, timeout=EXCHANGE_TIMEOUT_S)
        except grpc.aio.AioRpcError as error:
            self._counters.add("peer_exchange_failed")
            eliot.log_message("registry:peer_failed", code=error.code().name)
            sent.lost()
            return False
        sent.acknowledged(delta, began)
        broken = take_all(self._table, reply.endpoints, reply.ages_s, began)
        self._counters.add("peer_record_broken", broken)
        self._take_refreshes(reply.refreshes, began)
        if reply.differs:
            # It may have started again between two exchanges: refreshes of what it does not know
            # are not taken there, and it begins no exchange with this entry itself.
            sent.lost()
        self._told_by_daemon[daemon] = ToldByPeer(
            began, dict(reply.demand_by_client_account), dict(reply.wanted_by_service)
        )
        return True

    def _take_refreshes(self, refreshes: Iterable[entry_peer_pb2.Refresh], now: float) -> None:
        for refresh in refreshes:
            load = EndpointLoad(refresh.running, refresh.queued, refresh.capacity)
            start = (refresh.endpoint, refresh.incarnation)
            self._table.refresh(start, refresh.sequence, load, now - refresh.age_s)

    def answer(self, request: entry_peer_pb2.ExchangeRequest) -> entry_peer_pb2.ExchangeReply:
        """
        Answer a peer's exchange.

        An answer that is lost leaves a gap, which the digest of a later exchange repairs.

        :param request: its records, digest and demand.
        :return: this entry's demand, and its newer records or, where the digests differ, all.
        """
        now = boot_now()
        broken = take_all(self._table, request.endpoints, request.ages_s, now)
        self._counters.add("peer_record_broken", broken)
        self._take_refreshes(request.refreshes, now)
        self._told_by_daemon[request.daemon] = ToldByPeer(
            now, dict(request.demand_by_client_account), dict(request.wanted_by_service)
        )
        sent = self._answered_by_daemon.setdefault(request.daemon, SentToPeer())
        delta = sent.delta(self._table.heard(), now)
        # Whether the answer arrives is not known here; what a lost one leaves out is in the digest.
        sent.acknowledged(delta, now)
        known = [*delta.whole, *self._table.heard_lately(request.unheard, now)]
        differs = request.digest not in (0, self._table.digest())
        if differs:
            self._counters.add("peer_digest_repaired")
            known = self._table.heard()
        records, ages_s = pack(known, now)
        return entry_peer_pb2.ExchangeReply(
            endpoints=records,
            ages_s=ages_s,
            demand_by_client_account=self.demand_by_client_account,
            wanted_by_service=self.wanted_by_service,
            refreshes=delta.refreshes,
            differs=differs,
        )

    def told(self, now: float) -> dict[str, ToldByPeer]:
        """
        What the peers told lately of what they are asked for.

        :param now: seconds on this entry's boot clock.
        :return: by daemon.
        """
        found = {}
        for daemon, told in self._told_by_daemon.items():
            if now - told.heard_at <= TOLD_TTL_S:
                found[daemon] = told
        return found


class PeerServicer(entry_peer_pb2_grpc.EntryPeerServicer):
    """The server of EntryPeer."""

    def __init__(self, exchange: PeerExchange, kernel: Kernel) -> None:
        self._exchange = exchange
        self._kernel = kernel

    async def Exchange(
        self, request: entry_peer_pb2.ExchangeRequest, context: grpc.aio.ServicerContext
    ) -> entry_peer_pb2.ExchangeReply:
        """Take a peer's records; see proto/entry_peer.proto."""
        return self._exchange.answer(request)

    async def FetchBatch(
        self, request: entry_peer_pb2.FetchBatchRequest, context: grpc.aio.ServicerContext
    ) -> AsyncIterator[entry_peer_pb2.BatchChunk]:
        """Hand over a batch's payload; the service `rollouts` holds it."""
        async for chunk in serve_batch(self._kernel.find("rollouts"), request):
            yield chunk


__all__ = ["PeerExchange", "PeerServicer"]
