"""
Batch jobs: many requests that a caller submits at once and whose results it reads later.

The store VMs replicate the jobs in a consensus log. The leader of this log assigns the items of the
jobs to runners, which are entry daemons that send the requests to engines (inference endpoints).

An item's text is the output of its request, which the engine sends as a stream of events. An item
is listed when its result has a position in its job's list of results. The text of some items is
then scored by a second request (the reward call), before the item gets its result.
"""

from __future__ import annotations
