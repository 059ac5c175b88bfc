"""The fault-injecting proxy: tests that use it are valid only if it injects the stated fault."""

from __future__ import annotations

import asyncio

import pytest

from integration.proxy import FaultProxy, Mode


async def _echo_server() -> tuple[asyncio.Server, str, list[bytes]]:
    received: list[bytes] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(100):
            received.append(data)
            writer.write(data)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    return server, f"127.0.0.1:{server.sockets[0].getsockname()[1]}", received


@pytest.fixture
async def echo():
    server, address, received = await _echo_server()
    proxy = await FaultProxy.in_front_of(address)
    yield proxy, received
    await proxy.stop()
    server.close()


async def _connect(proxy: FaultProxy) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, port = proxy.address.split(":")
    return await asyncio.open_connection(host, int(port))


async def _exchange(
    connection: tuple[asyncio.StreamReader, asyncio.StreamWriter], data: bytes
) -> bytes:
    connection[1].write(data)
    return await asyncio.wait_for(connection[0].read(100), 20)


async def test_an_open_connection_goes_silent_while_new_ones_work(echo) -> None:
    proxy, received = echo
    open_connection = await _connect(proxy)
    assert await _exchange(open_connection, b"one") == b"one"

    await proxy.set_modes_of_open(Mode.SILENT, Mode.SILENT)
    open_connection[1].write(b"lost")
    new_connection = await _connect(proxy)

    assert await _exchange(new_connection, b"two") == b"two"
    assert b"lost" not in received


async def test_held_bytes_arrive_after_the_partition_heals(echo) -> None:
    proxy, received = echo
    connection = await _connect(proxy)
    assert await _exchange(connection, b"one") == b"one"

    await proxy.set_modes(Mode.HOLD, Mode.PASS)
    connection[1].write(b"late")
    await connection[1].drain()
    assert b"late" not in received
    await proxy.heal()

    assert await asyncio.wait_for(connection[0].read(100), 20) == b"late"


async def test_one_way_loss_delivers_the_request_and_loses_the_answer(echo) -> None:
    proxy, received = echo
    connection = await _connect(proxy)
    assert await _exchange(connection, b"one") == b"one"

    await proxy.set_modes(Mode.PASS, Mode.SILENT)
    connection[1].write(b"run me")
    while b"run me" not in received:
        await asyncio.sleep(0.01)
    await proxy.heal()

    with pytest.raises(ConnectionError):
        await asyncio.wait_for(connection[0].read(100), 20)


async def test_a_cut_resets_and_refuses(echo) -> None:
    proxy, _ = echo
    connection = await _connect(proxy)
    assert await _exchange(connection, b"one") == b"one"

    proxy.cut()

    with pytest.raises(ConnectionError):
        await _exchange(connection, b"two")
    with pytest.raises(ConnectionError):
        await _exchange(await _connect(proxy), b"three")
