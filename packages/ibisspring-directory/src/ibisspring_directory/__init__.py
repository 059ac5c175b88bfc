"""
The directory: the state that all daemons must agree on, replicated on the control VMs.

It contains the route table, the endpoints that joined and left, published weight versions, closed
usage windows, and the stores that hold the jobs' log. The leader of the directory's log also knows
the daemons' sessions and the endpoints' announcements, which are not replicated, and it sends
orders to external systems.
"""

from __future__ import annotations
