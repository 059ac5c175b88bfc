"""The settings of a daemon as frozen data classes; docs/reference/settings.md lists them."""

from __future__ import annotations

from dataclasses import dataclass, field

ROLES = ("control", "entry")


@dataclass(frozen=True)
class StatsdSettings:
    """Where statsd listens (UDP)."""

    host: str
    port: int = 8125


@dataclass(frozen=True)
class ControlSettings:
    """
    The control role.

    :param listen: IP:port for gRPC from control VMs, entries and operators.
    :param heartbeat_s: seconds between the leader's heartbeats.
    :param election_timeout_s: least seconds of silence before an election; the real one is drawn up
        to twice it.
    :param leader_lease_s: seconds, counted from sending, that a quorum's answers keep a leader in
        charge.
    :param entry_lease_s: seconds, counted from sending, that one renewal keeps an entry serving.
    :param snapshot_every: log entries between snapshots.
    :param platform_url: base URL of the platform's orders interface; empty switches platform orders
        off.
    :param usage_url: base URL that accepts usage reports; empty switches reports off.
    :param order_timeout_s: longest time that one order to the platform or an engine may be under
        way.
    :param usage_window_s: seconds that one usage window spans.
    :param drain_settle_s: seconds after which an endpoint that announces no work on it is stopped,
        counted from when no entry gives it new work.
    :param drain_deadline_s: seconds after which a draining endpoint is stopped with work on it.
    :param weight_store_url: base URL of the weight store, handed to engines in load orders.
    :param weight_store_concurrency: loads from the weight store at a time, its rate limit.
    :param load_timeout_s: seconds after which a load that the engine has not announced has failed.
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
    The entry role.

    :param listen_http: IP:port for callers, trainers and endpoints' announcements.
    :param listen_peer: IP:port for gRPC from other entries.
    :param advertise_peer: IP:port that other entries use; empty means `listen_peer`.
    :param renew_every_s: seconds between lease renewals.
    :param announce_ttl_s: seconds of silence after which an endpoint is taken as gone.
    :param silence_s: longest silence on a connection to an endpoint before it is checked over a new
        one.
    :param caller_silence_s: longest time that a caller may send nothing of its request or take
        nothing of its answer.
    :param request_timeout_s: longest time of one caller's request.
    :param stop_wait_s: seconds between turning not ready and refusing, so that the balancer
        notices.
    :param drain_s: longest time that running requests get to finish at a stop.
    :param max_body_bytes: largest body taken from a caller.
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


@dataclass(frozen=True)
class Settings:
    """
    One daemon's settings.

    :param daemon: the daemon's id, unique in the whole system and kept over restarts.
    :param data_centre: where its VM stands.
    :param roles: `control`, `entry` or both.
    :param control_addresses: IP:port by control daemon id, as seen from this VM.
    :param data_folder: the only folder that is written to; required for `control`.
    :param control: settings of the control role.
    :param entry: settings of the entry role.
    :param log_path: JSON lines go here; empty for standard error.
    :param statsd: where counters go; absent keeps them in memory.
    :param metrics_listen: IP:port of counters and latency histograms; empty serves none.
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


__all__ = ["ROLES", "ControlSettings", "EntrySettings", "Settings", "StatsdSettings"]
