"""Settings of a daemon that discovers all others from seed addresses."""

from __future__ import annotations

from dataclasses import dataclass

CONTROL = "control"
ENTRY = "entry"
STORE = "store"


@dataclass(frozen=True)
class VmSettings:
    """
    The settings of one daemon, which knows only seed addresses of other daemons.

    :param daemon: name of the daemon, as operators use it.
    :param role: CONTROL, ENTRY or STORE.
    :param data_centre: data centre of the VM.
    :param peer_address: IP:port of its peer server, which is also its id in a replicated log.
    :param seeds: peer addresses of control daemons; may be out of date.
    :param found: whether this daemon may bootstrap a new system.
    :param data_folder: the only folder on a persistent disk; empty without a disk.
    :param callers_listen: IP:port for callers; empty if the daemon serves none.
    :param readiness_listen: IP:port for the load balancer's readiness checks.
    :param control_listen: IP:port for operators, trainers and endpoints' announcements.
    :param metrics_listen: IP:port that serves counters and latency histograms; empty disables it.
    :param losses: number of daemons with a disk whose loss at the same time the system must
        tolerate.
    :param platform_url: base URL of the platform's interface; empty for none.
    :param holder_gap_s: minimum seconds between two orders to the platform from one daemon if
        another daemon, which held the duty to order in the meantime, sent an order in between.
    :param announce_every_s: seconds between announcements of an endpoint.
    :param usage_window_s: length of a usage window in seconds; 0 disables usage reports.
    :param scales: whether the daemons may order endpoints from the platform.
    :param stop_s: seconds from SIGTERM until the process is killed.
    :param result_keep_s: seconds after a job's submission for which its results are stored.
    """

    daemon: str
    role: str
    data_centre: str
    peer_address: str
    seeds: tuple[str, ...]
    found: bool = False
    data_folder: str = ""
    callers_listen: str = ""
    readiness_listen: str = ""
    control_listen: str = ""
    metrics_listen: str = ""
    losses: int = 1
    platform_url: str = ""
    holder_gap_s: float = 3.3
    announce_every_s: float = 1.2
    usage_window_s: float = 0.0
    scales: bool = False
    stop_s: float = 8.0
    result_keep_s: float = 120.0


__all__ = ["CONTROL", "ENTRY", "STORE", "VmSettings"]
