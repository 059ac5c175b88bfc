"""
Starts a daemon whose calls from other daemons pass through a proxy of the test.

The daemon listens for them at `listen_address` of the address that it announces; the proxy listens
at the announced address.
"""

from __future__ import annotations

import runpy
import sys
from pathlib import Path

START = Path(__file__).resolve().parents[2] / "platform" / "start.py"
ANNOUNCED_NETWORK = "127.1."
LISTENING_NETWORK = "127.9."


def listen_address(announced: str) -> str:
    """Return the IP:port at which a proxied daemon listens instead of its announced one."""
    return announced.replace(ANNOUNCED_NETWORK, LISTENING_NETWORK, 1)


def _start() -> None:
    # The folder of this script would hide modules of the standard library.
    sys.path[0] = str(START.parent)
    from ibisspring_core.peer_rpc import PeerServer

    build = PeerServer.__init__

    def build_behind_proxy(self: PeerServer, listen: str, *arguments: object) -> None:
        build(self, listen_address(listen), *arguments)

    PeerServer.__init__ = build_behind_proxy
    sys.argv[0] = str(START)
    runpy.run_path(str(START), run_name="__main__")


if __name__ == "__main__":
    _start()
