"""
Listens for callers before a daemon's imports, if the whole system restarts at the same time.

An entry on half a core needs about a second for its imports. While other daemons run, its port
refuses connections meanwhile, and a caller repeats its request at once at another entry. After the
end of all processes every entry refuses, and a caller that may repeat its request once has lost it
within milliseconds. A connection that is accepted then waits until the entry has started, which is
sooner than the callers give up.

The module is imported before all others and therefore uses the standard library alone.
"""

from __future__ import annotations

import selectors
import socket
import time

# Seconds within which a running daemon accepts a connection; daemons are at most some milliseconds
# apart, and one that has no power does not answer.
PROBE_TIMEOUT_S = 0.05
BACKLOG = 1024

_early_sockets: dict[str, socket.socket] = {}


def listen_if_alone(address: str, peers: list[str]) -> bool:
    """
    Listen at an address if no other daemon answers.

    :param address: IP:port for callers.
    :param peers: IP:port of other daemons.
    :return: whether the address is listened at now; `take_socket` returns the socket.
    """
    if not address or any_accepts(peers):
        return False
    early = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    early.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        early.bind(_host_and_port(address))
        early.listen(BACKLOG)
    except OSError:
        # The server reports the error when it listens itself.
        early.close()
        return False
    _early_sockets[address] = early
    return True


def take_socket(address: str) -> socket.socket | None:
    """Return the socket that already listens at an address, once; None if there is none."""
    return _early_sockets.pop(address, None)


def any_accepts(peers: list[str]) -> bool:
    """
    Whether any peer accepts a connection within PROBE_TIMEOUT_S.

    :param peers: IP:port of each peer; an address that cannot be used counts as not accepting.
    """
    end_s = time.monotonic() + PROBE_TIMEOUT_S
    with selectors.DefaultSelector() as selector:
        probes = [probe for peer in peers if (probe := _connect(peer)) is not None]
        try:
            for probe in probes:
                selector.register(probe, selectors.EVENT_WRITE)
            while selector.get_map() and (left_s := end_s - time.monotonic()) > 0:
                for key, _ in selector.select(left_s):
                    if key.fileobj.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0:
                        return True
                    selector.unregister(key.fileobj)
        finally:
            for probe in probes:
                probe.close()
    return False


def _connect(peer: str) -> socket.socket | None:
    probe = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    probe.setblocking(False)
    try:
        probe.connect_ex(_host_and_port(peer))
    except (OSError, ValueError):
        probe.close()
        return None
    return probe


def _host_and_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


__all__ = ["any_accepts", "listen_if_alone", "take_socket"]
