"""The settings of a daemon as frozen data classes, documented in docs/reference/settings.md."""

from __future__ import annotations

from dataclasses import dataclass, field

ROLES = ("control", "entry")
# Largest answer of an endpoint in bytes, unless the settings state another limit.
DEFAULT_ANSWER_BYTES = 16 * 1024 * 1024


@dataclass(frozen=True)
class StatsdSettings:
    """
    Address of the statsd server that counters are sent to.

    :param host: host name or IP address.
    :param port: UDP port.
    """

    host: str
    port: int = 8125


@dataclass(frozen=True)
class ControlSettings:
    """
    Settings of the control role. All times are in seconds.

    :param listen: IP:port for gRPC from control VMs, entries and operators.
    :param heartbeat_s: interval of the leader's heartbeats.
    :param election_timeout_s: minimum time without a heartbeat before an election; each timeout is
        random between one and two times this value.
    :param leader_lease_s: duration of a leader's lease, counted from the sending of the heartbeat
        that a quorum answered.
    :param entry_lease_s: duration of an entry's lease, counted from the sending of the renewal.
    :param snapshot_every: number of log entries between snapshots.
    :param platform_url: base URL of the platform's orders interface; empty disables platform
        orders.
    :param usage_url: base URL to which usage is reported; empty disables usage reports.
    :param order_timeout_s: time limit of one order to the platform or an engine.
    :param usage_window_s: length of a usage window, for which usage is counted and reported.
    :param drain_settle_s: time after which a draining endpoint that announces no running requests
        is stopped, counted from the moment at which no entry sends it new work.
    :param drain_deadline_s: time after which a draining endpoint is stopped even with running
        requests.
    :param weight_store_url: base URL of the weight store, sent to engines in load orders.
    :param weight_store_concurrency: maximum number of concurrent loads from the weight store.
    :param load_timeout_s: time after which a load fails if the engine has not announced the loaded
        version.
    """

    listen: str
    heartbeat_s: float = 0.2
    election_timeout_s: float = 1.0
    leader_lease_s: float = 0.8
    entry_lease_s: float = 3.0
    snapshot_every: int = 1000
    platform_url: str = ""
    usage_url: str = ""
    order_timeout_s: float = 2.0
    usage_window_s: float = 60.0
    drain_settle_s: float = 10.0
    drain_deadline_s: float = 120.0
    weight_store_url: str = ""
    weight_store_concurrency: int = 2
    load_timeout_s: float = 30.0


@dataclass(frozen=True)
class EntrySettings:
    """
    Settings of the entry role. All times are in seconds.

    :param listen_http: IP:port for callers, trainers and endpoints' announcements.
    :param listen_peer: IP:port for gRPC from other entries.
    :param advertise_peer: IP:port that other entries connect to; empty for `listen_peer`.
    :param renew_every_s: interval of lease renewals.
    :param announce_ttl_s: time without an announcement after which an endpoint expires.
    :param silence_s: time without data on a connection to an endpoint after which the endpoint is
        checked over a new connection.
    :param caller_silence_s: time after which a caller is disconnected that sends nothing of its
        request or reads nothing of its answer.
    :param request_timeout_s: time limit of a caller's request.
    :param stop_wait_s: time at shutdown between reporting not ready and rejecting requests, so that
        the load balancer removes the entry first.
    :param drain_s: time limit for running requests to finish at shutdown.
    :param max_body_bytes: maximum size of a request's body, in bytes.
    :param max_answer_bytes: maximum size of a plain service's answer, in bytes.
    """

    listen_http: str
    listen_peer: str
    advertise_peer: str = ""
    renew_every_s: float = 0.5
    announce_ttl_s: float = 5.0
    silence_s: float = 5.0
    caller_silence_s: float = 30.0
    request_timeout_s: float = 120.0
    stop_wait_s: float = 1.0
    drain_s: float = 30.0
    max_body_bytes: int = 4_194_304
    max_answer_bytes: int = DEFAULT_ANSWER_BYTES


@dataclass(frozen=True)
class Settings:
    """
    The settings of one daemon, as its YAML file contains them.

    :param daemon: id of the daemon, unique in the system and the same after restarts.
    :param data_centre: data centre of its VM.
    :param roles: `control`, `entry` or both.
    :param control_addresses: IP:port by control daemon id, as reachable from this VM.
    :param data_folder: the only folder that the daemon writes to; required for `control`.
    :param control: settings of the control role; required for that role.
    :param entry: settings of the entry role; required for that role.
    :param log_path: file for JSON log lines; empty for standard error.
    :param statsd: address that counters are sent to; None keeps them in memory only.
    :param metrics_listen: IP:port that serves counters and latency histograms; empty disables it.
    """

    daemon: str
    data_centre: str
    roles: tuple[str, ...]
    control_addresses: dict[str, str] = field(default_factory=dict)
    data_folder: str = ""
    control: ControlSettings | None = None
    entry: EntrySettings | None = None
    log_path: str = ""
    statsd: StatsdSettings | None = None
    metrics_listen: str = ""


__all__ = [
    "DEFAULT_ANSWER_BYTES",
    "ROLES",
    "ControlSettings",
    "EntrySettings",
    "Settings",
    "StatsdSettings",
]
