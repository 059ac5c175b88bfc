"""Consensus: a replicated log of commands, based on Raft."""

from __future__ import annotations

from ibisspring_consensus.config import ReplicaConfig
from ibisspring_consensus.node import ConsensusNode
from ibisspring_consensus.proposals import Committed

__all__ = ["Committed", "ConsensusNode", "ReplicaConfig"]
