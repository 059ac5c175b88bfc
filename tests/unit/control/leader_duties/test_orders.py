from __future__ import annotations

import asyncio
import json

import pytest

from ibisspring_control.leader_duties.orders import OrderEnd, Orders, OrderSettings
from ibisspring_core.errors import Reason, Refusal
from integration.processes import wait_until

START = {"data_centre": "derby", "service": "scorer-lm", "kind": "cheap", "action": "start"}


@pytest.fixture
def orders(control, watch, counters, platform_url) -> Orders:
    settings = OrderSettings("c1", platform_url, timeout_s=20.0, min_lease_s=0.4)
    return Orders(control, control, watch, counters, settings, lambda receiver: platform_url)


async def test_the_intent_is_committed_before_the_order_is_sent(
    control, orders, leadership, fake_platform
) -> None:
    sent_at_commit = []
    control.on_commit = lambda command: sent_at_commit.append(len(fake_platform.sent))

    end = await orders.send(leadership, "platform", "o1", START)

    assert end == OrderEnd("done")
    assert sent_at_commit == [0, 1]
    assert [(sent.order_id, sent.fencing, sent.sender) for sent in fake_platform.sent] == [
        ("o1", 1, "c1/1")
    ]
    assert not control.open_by_id


async def test_an_order_is_not_sent_on_a_lease_that_does_not_outlast_it(
    control, orders, leadership, fake_platform
) -> None:
    control.lease_s = 0.3

    refusal = await orders.send(leadership, "platform", "o1", START)

    assert isinstance(refusal, Refusal)
    assert (refusal.reason, refusal.not_run) == (Reason.LEASE_LAPSED, True)
    assert fake_platform.sent == []
    assert list(control.open_by_id) == ["o1"]


async def test_an_order_whose_answer_was_lost_is_resent_with_the_same_id_and_bytes(
    control, orders, leadership, fake_platform
) -> None:
    # The platform executes an order and its answer is lost, so the order stays open in the state.
    # If the retry had a new order id or other bytes, the platform would start a second endpoint.
    fake_platform.faults.drop_answer = True
    refusal = await orders.send(leadership, "platform", "o1", START)
    assert refusal.reason is Reason.MAY_HAVE_RUN

    fake_platform.faults.drop_answer = False
    (open_order,) = control.open_orders()
    end = await orders.resume(leadership, open_order)

    assert end == OrderEnd("done")
    assert len(fake_platform.started) == 1
    assert not control.open_by_id


async def test_an_order_that_never_arrived_is_sent_again_byte_for_byte(
    control, orders, leadership, fake_platform
) -> None:
    control.lease_s = 0.0
    await orders.send(leadership, "platform", "o1", START)
    control.lease_s = 10.0
    (open_order,) = control.open_orders()

    await orders.resume(leadership, open_order)

    (sent,) = fake_platform.sent
    assert json.loads(open_order.intent.body) == {"order_id": "o1", **START}
    assert sent.order == {"fencing": 1, "order_id": "o1", **START}


async def test_an_order_for_an_unavailable_kind_ends_as_unavailable(
    control, orders, leadership, fake_platform
) -> None:
    fake_platform.faults.unavailable = ["derby/cheap"]

    end = await orders.send(leadership, "platform", "o1", START)

    assert end == OrderEnd("unavailable", "derby/cheap")
    assert control.commands[-1].outcome == "refused"


async def test_a_new_order_does_not_overtake_an_open_one(
    control, orders, leadership, fake_platform
):
    # The answer to the first order is lost, so this order is open. If a second order were sent now,
    # it would have a higher fencing number, and a platform that checks fencing numbers would always
    # refuse the first order afterwards.
    fake_platform.faults.drop_answer = True
    await orders.send(leadership, "platform", "o1", START)

    refusal = await orders.send(leadership, "platform", "o2", START)

    assert (refusal.reason, refusal.not_run) == (Reason.IN_PROGRESS, True)
    assert [sent.order_id for sent in fake_platform.sent] == ["o1"]


async def test_resume_does_not_resend_an_order_that_ended_in_the_meantime(
    control, orders, leadership, fake_platform
) -> None:
    # The leader periodically resumes open orders and finds one that `send` is still sending. If
    # `resume` did not check again, after `send` released the receiver's lock, that the order is
    # open, the order would be sent twice.
    fake_platform.faults.answer_late_s = 0.3
    sending = asyncio.create_task(orders.send(leadership, "platform", "o1", START))
    await wait_until(lambda: fake_platform.sent, "the order to arrive")
    (open_order,) = control.open_orders()

    await orders.resume(leadership, open_order)

    assert await sending == OrderEnd("done")
    assert len(fake_platform.sent) == 1
