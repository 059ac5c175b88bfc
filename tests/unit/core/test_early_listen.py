from __future__ import annotations

import socket

import pytest

from ibisspring_core.early_listen import any_accepts, listen_if_alone, take_socket
from integration.processes import free_port


@pytest.fixture
def running_daemon():
    with socket.create_server(("127.0.0.1", 0)) as server:
        yield f"127.0.0.1:{server.getsockname()[1]}"


def closed_address() -> str:
    return f"127.0.0.1:{free_port()}"


def test_callers_wait_for_an_entry_that_starts_together_with_all_others() -> None:
    # All processes ended. A caller's connection is accepted although no server runs yet.
    address = closed_address()

    assert listen_if_alone(address, [closed_address(), closed_address()])

    host, _, port = address.partition(":")
    with socket.create_connection((host, int(port)), timeout=1.0):
        early = take_socket(address)
        assert early.getsockname() == (host, int(port))
        early.close()
    assert take_socket(address) is None


def test_callers_are_sent_to_other_entries_while_the_system_runs(running_daemon) -> None:
    # Only this entry restarts. Its port must refuse connections, so that callers go elsewhere at
    # once and do not wait for its imports.
    address = closed_address()

    assert not listen_if_alone(address, [closed_address(), running_daemon])

    with (
        pytest.raises(ConnectionRefusedError),
        socket.create_connection(("127.0.0.1", int(address.rpartition(":")[2])), timeout=1.0),
    ):
        pass


def test_unusable_addresses_of_peers_count_as_not_answering(running_daemon) -> None:
    assert not any_accepts(["nowhere", "127.0.0.1:none", "not-an-address:1"])
    assert any_accepts(["nowhere", running_daemon])


def test_an_address_in_use_is_left_to_the_server(running_daemon) -> None:
    assert not listen_if_alone(running_daemon, [])
    assert take_socket(running_daemon) is None
