"""The exchange with the other entries: one client task per peer, and the EntryPeer server."""

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
from ibisspring_entry.registry.peer_wire import encode_records, merge_records
from ibisspring_entry.rollouts.peer_batches import serve_batch

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterable

    from ibisspring_core.endpoint_table import EndpointTable
    from ibisspring_core.kernel import Kernel
    from ibisspring_core.messages.views import PeerRecord
    from ibisspring_core.settings import Settings

EXCHANGE_EVERY_S = 1.0
"""Seconds between two exchanges with a peer."""

DIGEST_EVERY = 2
"""
One of this many exchanges contains the digest of the endpoint table. A peer whose digest differs
sends all its records, so that missing records are repaired within about two seconds.
"""

EXCHANGE_TIMEOUT_S = 2.0
"""Time limit in seconds for one exchange with a peer."""

PEER_REPORT_TTL_S = 5.0
"""Seconds after its receipt for which a peer's report of its demand is used."""

STOP_GRACE_S = 1.0
"""Seconds that running calls of peers get to end when the server stops."""

CHANNEL_OPTIONS = (
    # gRPC's default reconnect backoff grows to two minutes; a restarted peer would not be reached
    # for that time.
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.use_local_subchannel_pool", 1),
)


@dataclass(frozen=True)
class PeerReport:
    """
    The demand that a peer reported for itself.

    :param received_at: boot-clock time of the report: the start of the exchange if this entry
        initiated it, else the receipt of the peer's request.
    :param demand_by_client_account: requests per second at the peer.
    :param wanted_by_service: number of running and waiting requests at the peer.
    """

    received_at: float
    demand_by_client_account: dict[str, float]
    wanted_by_service: dict[str, float]


def initiates_exchange(daemon: str, peer: str) -> bool:
    """
    Decide whether this entry or its peer sends the requests of their exchanges.

    One of them is enough, because a reply contains the same kinds of records as a request.

    :param daemon: name of this entry's daemon.
    :param peer: name of the peer's daemon.
    :return: True on exactly one side of each pair; the pairs are spread evenly over the entries.
    """
    first, second = sorted((daemon, peer))
    even = xxhash.xxh64_intdigest(f"{first} {second}".encode()) % 2 == 0
    return daemon == (first if even else second)


class PeerExchange:
    """Exchanges endpoint records and demand with the other entries."""

    def __init__(self, daemon: str, listen: str, table: EndpointTable) -> None:
        self._daemon = daemon
        self._listen = listen
        self._table = table
        self._task_by_daemon: dict[str, asyncio.Task[None]] = {}
        self._peer_by_daemon: dict[str, PeerRecord] = {}
        self._report_by_daemon: dict[str, PeerReport] = {}
        self._sent_in_replies_by_daemon: dict[str, SentToPeer] = {}
        self._server: grpc.aio.Server | None = None
        self.demand_by_client_account: dict[str, float] = {}
        self.wanted_by_service: dict[str, float] = {}

    @classmethod
    def from_config(cls, settings: Settings, table: EndpointTable) -> PeerExchange:
        """
        Build the exchange of an entry with its peers, without starting it.

        :param settings: validated settings of a daemon with the entry role.
        :param table: this entry's endpoint table, into which the peers' records are merged.
        """
        return cls(settings.daemon, settings.entry.listen_peer, table)

    async def start(self, kernel: Kernel) -> None:
        """
        Start the gRPC server for peers, and update the list of peers from the leader's view.

        :param kernel: registry in which the daemon's services find each other.
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
        kernel.find("timer").subscribe("peers", EXCHANGE_EVERY_S, self._update_peers)

    async def stop(self) -> None:
        """Cancel the exchanges with all peers and stop the server."""
        for task in self._task_by_daemon.values():
            task.cancel()
        await self._server.stop(STOP_GRACE_S)

    async def _update_peers(self, now: float) -> None:
        view = self._lease.view()
        # While the lease is lapsed there is no view from the leader. The last known peers are kept,
        # since their records of endpoints remain valid.
        if not isinstance(view, Refusal):
            self._peer_by_daemon = dict(view.peer_by_daemon)
            self._peer_by_daemon.pop(self._daemon, None)
        for daemon in list(self._task_by_daemon):
            if daemon not in self._peer_by_daemon:
                self._task_by_daemon.pop(daemon).cancel()
        for daemon in self._peer_by_daemon:
            if not initiates_exchange(self._daemon, daemon):
                continue
            task = self._task_by_daemon.get(daemon)
            if task is None or task.done():
                self._task_by_daemon[daemon] = asyncio.create_task(self._exchange_with(daemon))

    async def _exchange_with(self, daemon: str) -> None:
        """
        Exchange with one peer every `EXCHANGE_EVERY_S` until the leader's view lacks the peer.

        After a failed exchange, the gRPC channel is replaced.
        """
        channel: grpc.aio.Channel | None = None
        address = ""
        sent = SentToPeer()
        exchange_count = 0
        try:
            while True:
                peer = self._peer_by_daemon[daemon]
                if channel is None or address != peer.peer_address:
                    address = peer.peer_address
                    channel = grpc.aio.insecure_channel(address, CHANNEL_OPTIONS)
                with_digest = exchange_count % DIGEST_EVERY == 0
                exchange_count += 1
                if not await self._exchange(daemon, channel, sent, with_digest):
                    # If a device in the network has dropped the state of a channel's connection,
                    # the channel never delivers a reply again, while a new channel works. The
                    # timeout of the exchange detects the failure.
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
        delta = sent.delta(self._table.records(), began)
        records, ages_s = encode_records(delta.complete, began)
        request = entry_peer_pb2.ExchangeRequest(
            daemon=self._daemon,
            endpoints=records,
            ages_s=ages_s,
            refreshes=delta.refreshes,
            digest=self._table.digest() if with_digest else 0,
            unheard=self._table.stale_endpoints(began) if with_digest else (),
            demand_by_client_account=self.demand_by_client_account,
            wanted_by_service=self.wanted_by_service,
        )
        stub = entry_peer_pb2_grpc.EntryPeerStub(channel)
        try:
            reply = await stub.Exchange(request, timeout=EXCHANGE_TIMEOUT_S)
        except grpc.aio.AioRpcError as error:
            self._counters.add("peer_exchange_failed")
            eliot.log_message("registry:peer_failed", code=error.code().name)
            sent.forget_all()
            return False
        sent.record_acknowledged(delta, began)
        broken = merge_records(self._table, reply.endpoints, reply.ages_s, began)
        self._counters.add("peer_record_broken", broken)
        self._apply_refreshes(reply.refreshes, began)
        if reply.differs:
            # The peer may have restarted between two exchanges. It ignores refreshes of records
            # that it lacks, and it never initiates an exchange of this pair, so the next request
            # must carry complete records.
            sent.forget_all()
        self._report_by_daemon[daemon] = PeerReport(
            began, dict(reply.demand_by_client_account), dict(reply.wanted_by_service)
        )
        return True

    def _apply_refreshes(self, refreshes: Iterable[entry_peer_pb2.Refresh], now: float) -> None:
        for refresh in refreshes:
            load = EndpointLoad(refresh.running, refresh.queued, refresh.capacity)
            start = (refresh.endpoint, refresh.incarnation)
            self._table.refresh(start, refresh.sequence, load, now - refresh.age_s)

    def answer(self, request: entry_peer_pb2.ExchangeRequest) -> entry_peer_pb2.ExchangeReply:
        """
        Process a peer's request and build the reply.

        If the reply is lost, the peer lacks its records until a later request's digest differs.

        :param request: the peer's records, digest and demand.
        :return: this entry's demand, with its new records or, if the digests differ, all records.
        """
        now = boot_now()
        broken = merge_records(self._table, request.endpoints, request.ages_s, now)
        self._counters.add("peer_record_broken", broken)
        self._apply_refreshes(request.refreshes, now)
        self._report_by_daemon[request.daemon] = PeerReport(
            now, dict(request.demand_by_client_account), dict(request.wanted_by_service)
        )
        sent = self._sent_in_replies_by_daemon.setdefault(request.daemon, SentToPeer())
        delta = sent.delta(self._table.records(), now)
        # Whether the reply arrives is unknown here. If the reply is lost, the digests of a later
        # exchange differ, and the records are sent again.
        sent.record_acknowledged(delta, now)
        known = [*delta.complete, *self._table.recent_records(request.unheard, now)]
        differs = request.digest not in (0, self._table.digest())
        if differs:
            self._counters.add("peer_digest_repaired")
            known = self._table.records()
        records, ages_s = encode_records(known, now)
        return entry_peer_pb2.ExchangeReply(
            endpoints=records,
            ages_s=ages_s,
            demand_by_client_account=self.demand_by_client_account,
            wanted_by_service=self.wanted_by_service,
            refreshes=delta.refreshes,
            differs=differs,
        )

    def recent_reports(self, now: float) -> dict[str, PeerReport]:
        """
        Return the peers' reports of the last `PEER_REPORT_TTL_S` seconds.

        :param now: the current time in seconds on this entry's boot clock.
        :return: the newest report of each peer, by daemon name.
        """
        found = {}
        for daemon, report in self._report_by_daemon.items():
            if now - report.received_at <= PEER_REPORT_TTL_S:
                found[daemon] = report
        return found


class PeerServicer(entry_peer_pb2_grpc.EntryPeerServicer):
    """The gRPC server of the service EntryPeer."""

    def __init__(self, exchange: PeerExchange, kernel: Kernel) -> None:
        self._exchange = exchange
        self._kernel = kernel

    async def Exchange(
        self, request: entry_peer_pb2.ExchangeRequest, context: grpc.aio.ServicerContext
    ) -> entry_peer_pb2.ExchangeReply:
        """Merge a peer's records and reply with this entry's records (proto/entry_peer.proto)."""
        return self._exchange.answer(request)

    async def FetchBatch(
        self, request: entry_peer_pb2.FetchBatchRequest, context: grpc.aio.ServicerContext
    ) -> AsyncIterator[entry_peer_pb2.BatchChunk]:
        """Stream the payload of a batch that the service `rollouts` of this entry holds."""
        async for chunk in serve_batch(self._kernel.find("rollouts"), request):
            yield chunk


__all__ = ["PeerExchange", "PeerServicer"]
