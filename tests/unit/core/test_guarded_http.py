from __future__ import annotations

import asyncio
import socket
import threading
import time

import aiohttp
import pytest

from ibisspring_core.clock import boot_now
from ibisspring_core.guarded_http import HttpRequest, NoAnswer, send_guarded
from integration.processes import wait_until
from integration.proxy import FaultProxy, Mode

ORDER = b'{"order_id": "o1"}'


class _Receiver:
    """Server that reads bytes and never responds."""

    def __init__(self) -> None:
        self.received = b""
        self.ends: list[str] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65_536):
                self.received += data
            self.ends.append("closed")
        except ConnectionResetError:
            self.ends.append("reset")
        finally:
            writer.close()


@pytest.fixture
async def receiver():
    receiver = _Receiver()
    server = await asyncio.start_server(receiver.serve, "127.0.0.1", 0)
    receiver.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    yield receiver
    server.close()


def _order(address: str, body: bytes = ORDER) -> HttpRequest:
    return HttpRequest("POST", f"http://{address}/orders", body)


async def test_a_process_frozen_after_its_check_sends_nothing(receiver, monkeypatch) -> None:
    # A leader checks its lease, opens the connection, is frozen and resumes after its lease has
    # lapsed. By then its successor sends orders, so no byte of the earlier leader's order may be
    # sent.
    thawed = threading.Event()
    connect = aiohttp.TCPConnector.connect

    async def connect_and_freeze(*arguments, **keywords):
        connection = await connect(*arguments, **keywords)
        thawed.set()
        return connection

    monkeypatch.setattr(aiohttp.TCPConnector, "connect", connect_and_freeze)

    answer = await send_guarded(
        _order(receiver.address), lambda: 0.0 if thawed.is_set() else 5.0, 0.4, 20.0
    )

    assert thawed.is_set()
    assert isinstance(answer, NoAnswer)
    assert not answer.sent
    await wait_until(lambda: receiver.ends, "the connection to end", 10.0)
    assert receiver.received == b""


async def test_the_connection_is_reset_when_the_lease_lapses(receiver) -> None:
    end_s = boot_now() + 1.0

    answer = await send_guarded(_order(receiver.address), lambda: end_s - boot_now(), 0.1, 20.0)

    assert answer == NoAnswer(True, "the lease lapsed")
    await wait_until(lambda: receiver.ends, "the connection to end", 10.0)
    assert receiver.ends == ["reset"]


async def test_bytes_written_into_a_partition_do_not_arrive_when_it_heals(receiver) -> None:
    # The order's bytes are sent during a network partition; then the lease lapses and the partition
    # heals. If the connection were still open, TCP would retransmit the order while a new leader
    # sends its own.
    proxy = await FaultProxy.in_front_of(receiver.address)
    await proxy.set_modes(Mode.HOLD, Mode.HOLD)
    end_s = boot_now() + 1.0

    answer = await send_guarded(_order(proxy.address), lambda: end_s - boot_now(), 0.1, 20.0)
    await proxy.heal()

    assert answer.sent
    await wait_until(lambda: receiver.ends, "the connection to end", 10.0)
    assert receiver.received == b""


async def test_the_kernel_stops_retransmission_while_the_process_is_frozen() -> None:
    # The receiver's TCP window is full, so the sender's operating system buffers the remainder of
    # the order. The sending process is frozen past the end of its lease and cannot abort the
    # connection; the receiver reads again before the process resumes. Without TCP_USER_TIMEOUT the
    # receiver would get the remainder of the order.
    order = b"x" * 400_000
    received: list[int] = []
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    arrived = threading.Event()
    lapsed = threading.Event()

    def read_late() -> None:
        accepted, _ = listener.accept()
        accepted.recv(1, socket.MSG_PEEK)
        arrived.set()
        lapsed.wait(60)
        try:
            while data := accepted.recv(65_536):
                received.append(len(data))
        except ConnectionResetError:
            pass
        received.append(0)

    threading.Thread(target=read_late, daemon=True).start()
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    sending = asyncio.create_task(
        send_guarded(
            _order(address, order), lambda: 0.0 if lapsed.is_set() else 1.0, 0.1, timeout_s=60.0
        )
    )
    await wait_until(arrived.is_set, "the order's first bytes to arrive")
    time.sleep(3.0)
    lapsed.set()
    time.sleep(1.0)
    answer = await sending

    assert answer.sent
    await wait_until(
        lambda: received and received[-1] == 0,
        "the receiver to see the end of the connection",
        30.0,
    )
    assert sum(received) < len(order)


async def test_the_http_client_does_not_resend_a_request_by_itself() -> None:
    connections = []

    async def hang_up(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connections.append(await reader.readuntil(b"\r\n\r\n"))
        writer.close()

    server = await asyncio.start_server(hang_up, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]

    answer = await send_guarded(
        HttpRequest("PUT", f"http://127.0.0.1:{port}/"), lambda: 10.0, 0.1, 20.0
    )

    assert answer.sent
    assert len(connections) == 1
    server.close()
