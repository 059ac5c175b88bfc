"""Our own consensus: a replicated log of commands, in the manner of Raft."""

from __future__ import annotations

from ibisspring_control.consensus.node import ConsensusNode
from ibisspring_control.consensus.proposals import Committed

__all__ = ["Committed", "ConsensusNode"]
