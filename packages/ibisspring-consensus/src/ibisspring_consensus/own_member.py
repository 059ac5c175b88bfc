"""What a daemon reports about itself and its disk to the directory of all daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisspring_core.messages.directory import Member

if TYPE_CHECKING:
    from ibisspring_consensus.node import ConsensusNode
    from ibisspring_core.settings.vm import VmSettings


def own_member(settings: VmSettings, consensus: ConsensusNode) -> Member:
    """
    Build the record with which this daemon reports its disk to the directory.

    :param settings: the daemon's settings, with its address and data centre.
    :param consensus: the daemon's replica, whose disk is reported.
    """
    return Member(
        settings.peer_address,
        settings.daemon,
        settings.data_centre,
        consensus.replica.disk_id,
        consensus.core.is_empty,
        consensus.core.cluster,
    )


__all__ = ["own_member"]
