"""Settings of a daemon that discovers all others from seed addresses."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ibisspring_core.settings.model import DEFAULT_ANSWER_BYTES
from ibisspring_core.settings.policy import LoadPolicy
from ibisspring_decisions.entry_size import EntrySize

if TYPE_CHECKING:
    from collections.abc import Mapping

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
    :param data_centre_losses: number of data centres whose loss at the same time the system must
        tolerate.
    :param region_by_data_centre: region of each data centre of the system; empty if unknown.
    :param platform_url: base URL of the platform's interface; empty for none.
    :param holder_gap_s: minimum seconds between two orders to the platform from one daemon if
        another daemon, which held the duty to order in the meantime, sent an order in between.
    :param announce_every_s: seconds between announcements of an endpoint.
    :param usage_window_s: length of a usage window in seconds; 0 disables usage reports.
    :param scales: whether the daemons may order endpoints from the platform.
    :param stop_s: seconds from SIGTERM until the process is killed.
    :param result_keep_s: seconds after a job's submission for which its results are stored.
    :param evacuate_s: seconds after the answer to an evacuation within which the last request may
        reach an endpoint of the data centre; 0 sets no limit.
    :param cold_overshoot: factor by which a cold engine may get more requests per second than its
        service states.
    :param cold_slack: requests that a cold engine may get in a second beyond that.
    :param policy: optional decisions about load that are in force.
    :param size: limits of this daemon's process; all unknown by default.
    :param max_answer_bytes: maximum size of an endpoint's answer, or of an item's text, in bytes.
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
    data_centre_losses: int = 0
    region_by_data_centre: Mapping[str, str] = field(default_factory=dict)
    platform_url: str = ""
    holder_gap_s: float = 3.3
    announce_every_s: float = 1.2
    usage_window_s: float = 0.0
    scales: bool = False
    stop_s: float = 8.0
    result_keep_s: float = 120.0
    evacuate_s: float = 0.0
    cold_overshoot: float = 1.0
    cold_slack: float = 0.0
    policy: LoadPolicy = LoadPolicy()
    size: EntrySize = EntrySize()
    max_answer_bytes: int = DEFAULT_ANSWER_BYTES

    def is_in_regions(self, data_centre: str, regions: tuple[str, ...] | None) -> bool:
        """
        Whether a data centre lies in one of the given regions.

        :param regions: names of regions; None for all.
        :return: False for a data centre whose region is unknown, unless all regions are given.
        """
        return regions is None or self.region_by_data_centre.get(data_centre) in regions

    @property
    def voters(self) -> int:
        """
        Number of voters of a replicated log: the losses to be tolerated leave a majority.

        The loss of one data centre takes at most two fifths of five voters in three data centres,
        and one of three.
        """
        return 2 * max(self.losses, self.data_centre_losses) + 1

    @property
    def most_voters_per_data_centre(self) -> int | None:
        """
        Most voters of a replicated log in one data centre, so that its loss leaves a majority.

        :return: None if no loss of a data centre must be tolerated, or if there are too few data
            centres to place the voters within such a limit.
        """
        if self.data_centre_losses <= 0:
            return None
        limit = max(1, (self.voters - 1) // 2 // self.data_centre_losses)
        return limit if limit * len(self.region_by_data_centre) >= self.voters else None


__all__ = ["CONTROL", "ENTRY", "STORE", "VmSettings"]
