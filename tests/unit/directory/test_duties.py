"""
Which daemon may send orders to external systems, and from which moment.

The holder is the daemon that may send them: the leader of the directory's log. The gap is the
setting `holder_gap_s`, within which a receiver must not see orders of two holders alternate.
"""

from __future__ import annotations

import pytest

from ibisspring_core.guarded_http import HttpRequest, NoAnswer
from ibisspring_core.kernel import Kernel
from ibisspring_core.settings.vm import CONTROL, VmSettings
from ibisspring_directory import duties as duties_module
from ibisspring_directory.duties import WAIT_SHARE_OF_GAP, Duties
from ibisspring_directory.outside import OrderSender

GAP_S = 3.3
LEASE_S = 0.55
ORDER = HttpRequest("POST", "http://10.0.0.9:80/v1/order")


class _Consensus:
    name = "consensus"
    term = 7

    async def start(self, kernel) -> None: ...

    async def stop(self) -> None: ...

    def lease_left_s(self) -> float:
        return LEASE_S


class _Directory:
    """Stand-in for the directory of a daemon that became the leader at second 100."""

    name = "directory"
    led_since = 100.0

    def __init__(self) -> None:
        self.has_lease = True

    async def start(self, kernel) -> None: ...

    async def stop(self) -> None: ...

    def holds_lease(self) -> bool:
        return self.has_lease


class _Leader:
    def __init__(self) -> None:
        self.now = 100.0
        self.directory = _Directory()
        self.consensus = _Consensus()
        settings = VmSettings("core-1", CONTROL, "derby", "10.0.0.1:1", (), holder_gap_s=GAP_S)
        self.duties = Duties.from_config(settings)


@pytest.fixture
async def leader(monkeypatch):
    leader = _Leader()
    monkeypatch.setattr(duties_module, "boot_now", lambda: leader.now)
    kernel = Kernel.from_services((leader.consensus, leader.directory, leader.duties))
    await kernel.start()
    return leader


async def test_a_new_leader_orders_nothing_while_an_earlier_order_may_be_in_transit(leader):
    """
    A leader is frozen while its order is in transit, and another daemon becomes the leader.

    If the new leader sent an order at once, the receiver would see the orders of two holders
    alternate: the delayed order of the first holder would arrive after that of the second.
    """
    leader.now = 100.0 + WAIT_SHARE_OF_GAP * GAP_S - 0.01

    assert not leader.duties.may_order()
    answer = await leader.duties.send(ORDER, 0.1)
    assert isinstance(answer, NoAnswer)
    assert not answer.sent

    leader.now = 100.0 + WAIT_SHARE_OF_GAP * GAP_S

    assert leader.duties.may_order()


async def test_a_leader_elected_again_orders_at_least_the_gap_after_its_last_order(leader) -> None:
    """
    A leader orders and is deposed, its successor orders and is deposed at once, and the first
    daemon is the leader again.

    If a receiver saw an order of the first daemon, one of the second and again one of the first
    within the gap, it would conclude that both consider themselves the holder.
    """
    ordered = []
    leader.now = 100.0
    for _ in range(3):
        # At the election of a leader, the lease of the previous leader has ended, so that the
        # previous leader sent its order before `led_since`.
        leader.directory.led_since = leader.now
        while not leader.duties.may_order():
            leader.now += 0.01
        ordered.append(leader.now)

    assert ordered[2] - ordered[0] >= GAP_S - 0.001


async def test_a_deposed_leader_sends_no_order(leader) -> None:
    leader.now = 200.0
    leader.directory.has_lease = False

    assert not leader.duties.may_order()
    answer = await leader.duties.send(ORDER, 0.1)
    assert isinstance(answer, NoAnswer)
    assert not answer.sent


async def test_the_fencing_number_is_the_term(leader) -> None:
    assert leader.duties.sender() == OrderSender("core-1", 7)


async def test_an_order_is_not_sent_in_a_later_term(leader, monkeypatch) -> None:
    """
    A leader is deposed and elected again while an order with its old fencing number waits.

    If the order were sent, its number would be lower than that of the leader in between, of which
    the receiver may have received orders.
    """
    leader.now = 200.0
    lease_left = []

    async def send(request, lease_left_s, min_lease_left_s, timeout_s):
        lease_left.append(lease_left_s())
        leader.consensus.term = 9
        lease_left.append(lease_left_s())
        return NoAnswer(False, "the lease lapsed")

    monkeypatch.setattr(duties_module, "send_guarded", send)

    await leader.duties.send(ORDER, 0.1)

    assert lease_left == [LEASE_S, 0.0]
