"""Settings of a daemon that finds all others by seeds."""

from __future__ import annotations

from dataclasses import dataclass

CONTROL = "control"
ENTRY = "entry"
STORE = "store"


@dataclass(frozen=True)
class VmSettings:
    """
    What one VM's daemon is told at its start.

    :param daemon: name that operators know it by.
    :param role: CONTROL, ENTRY or STORE.
    :param data_centre: where the VM stands.
    :param peer_address: IP:port of its peer server, which is also its id in a log.
    :param seeds: peer addresses of control daemons; they may be out of date.
    :param found: the whole system starts for the first time.
    :param data_folder: the only folder that lasts; empty without a disk.
    :param callers_listen: IP:port for callers; empty where it serves none.
    :param readiness_listen: IP:port that the balancer asks.
    :param control_listen: IP:port for operators, trainers and endpoints' announcements.
    :param metrics_listen: IP:port of counters and latency histograms; empty serves none.
    :param losses: daemons with a disk that may be lost at once.
    :param platform_url: base URL of the platform's interface; empty for none.
    :param holder_gap_s: seconds that must lie between two orders of one holder of a duty where
        another one ordered in between.
    :param announce_every_s: seconds between announcements of an endpoint.
    :param usage_window_s: seconds that one usage window spans; 0 reports none.
    :param scales: whether endpoints may be ordered from the platform.
    :param stop_s: seconds from SIGTERM until the process is killed.
    :param result_keep_s: seconds after a job's submission during which its results stay.
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
