"""Configures uvicorn as a server that the daemon starts and stops."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import uvicorn

from ibisspring_core.embedded_server import EmbeddedServer
from ibisspring_entry.http.caller_connection import CallerConnection

if TYPE_CHECKING:
    from ibisspring_core.caller_leaving import Application
    from ibisspring_core.counters import Counters
    from ibisspring_core.settings import EntrySettings

MAX_HEADER_BYTES = 32 * 1024
KEEP_ALIVE_S = 30


def make_server(
    application: Application, settings: EntrySettings, counters: Counters
) -> EmbeddedServer:
    """
    Configure the HTTP server of an entry, without starting it.

    :param application: the ASGI application that answers the requests.
    :param settings: contains the listen address and `caller_silence_s`, the time limit for silent
        callers.
    :param counters: counts refused and silent connections.
    """
    host, _, port = settings.listen_http.rpartition(":")
    config = uvicorn.Config(
        application,
        host=host.strip("[]"),
        port=int(port),
        http=functools.partial(CallerConnection, counters, settings.caller_silence_s),
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        timeout_keep_alive=KEEP_ALIVE_S,
        h11_max_incomplete_event_size=MAX_HEADER_BYTES,
    )
    return EmbeddedServer(config)


__all__ = ["EmbeddedServer", "make_server"]
