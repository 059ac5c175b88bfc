"""Which daemon may send orders to external systems, and from which moment."""

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
    A leader is frozen while its order is in transit; another takes over and orders at once.

    The receiver would see the orders of two holders alternate: the delayed order of the first
    holder arrives after that of the second.
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
    A leader orders and is lost, its successor orders and is lost at once, and the first leads
    again.

    A receiver that sees an order of the first holder, one of the second and again one of the first
    within the gap concludes that both consider themselves the holder.
    """
    ordered = []
    leader.now = 100.0
    for _ in range(3):
        # The previous leader's lease had ended at the election, so its order was sent before that.
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
    A leader is deposed and elected again while an order waits; the order carries the old fencing
    number.

    That number is lower than that of the leader in between, which the receiver may have seen.
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
