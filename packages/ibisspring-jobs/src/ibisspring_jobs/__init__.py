"""
Batch jobs: many requests that a caller submits at once and whose results it reads later.

The store VMs replicate the jobs in a consensus log. The leader of this log assigns the items of the
jobs to runners, which are entry daemons that send the requests to engines (inference endpoints).

An item's text is the output of its request, received as a stream of events. An item is listed once
its result has a position in its job's list of results.
"""

from __future__ import annotations
