"""The description of a daemon's disk that is sent to the directory."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ibisspring_core.messages.directory import Member

if TYPE_CHECKING:
    from ibisspring_consensus.node import ConsensusNode
    from ibisspring_core.settings.vm import VmSettings


def own_member(settings: VmSettings, consensus: ConsensusNode) -> Member:
    """
    Describe this daemon's disk to the directory.

    :param settings: address and data centre of the daemon.
    :param consensus: the daemon's replica.
    :return: the member.
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
