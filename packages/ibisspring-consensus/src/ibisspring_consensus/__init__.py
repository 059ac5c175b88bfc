"""
A replicated log of commands, based on Raft: the replicas agree on the commands and their order.
"""

from __future__ import annotations

from ibisspring_consensus.config import ReplicaConfig
from ibisspring_consensus.node import ConsensusNode
from ibisspring_consensus.proposals import Committed

__all__ = ["Committed", "ConsensusNode", "ReplicaConfig"]
