from __future__ import annotations

import asyncio
from dataclasses import dataclass

import msgspec
import pytest

from ibisspring_control.entry_leases import EntryLeases, hold_end_s
from ibisspring_control.state import StateMachine
from ibisspring_core.clock import wall_now
from ibisspring_core.errors import Reason, Refusal
from ibisspring_core.kernel import Kernel
from ibisspring_core.messages.codec import decode, encode
from ibisspring_core.messages.commands import COMMANDS, ApplyRules, Envelope
from ibisspring_core.messages.endpoints import EndpointRecord
from ibisspring_core.messages.views import EntryView
from ibisspring_core.pb import control_pb2
from ibisspring_core.request_ids import new_request_id
from ibisspring_core.timer import TimerService
from integration.processes import wait_until

LEASE_S = 0.4
LONG_S = 30.0
RULES = "client_account forge rate 1/s weight 1  # asked: archive desk, ticket 118\n"


@dataclass
class _Consensus:
    """Stand-in for the consensus service: confirms the leadership after 10 ms."""

    name = "consensus"
    is_leader: bool = True
    term: int = 1
    leader_hint: str = "c1"
    confirms: int = 0

    async def start(self, kernel: Kernel) -> None: ...

    async def stop(self) -> None: ...

    async def confirm_read(self) -> int | Refusal:
        self.confirms += 1
        await asyncio.sleep(0.01)
        return 1 if self.is_leader else Refusal(Reason.NO_LEADER, True)


class _System:
    def __init__(self, lease_s: float) -> None:
        self.consensus = _Consensus()
        self.state = StateMachine.empty()
        self.leases = EntryLeases(lease_s, 60.0)
        services = (TimerService(), self.consensus, self.state, self.leases)
        self.kernel = Kernel.from_services(services)

    def apply_rules(self) -> int:
        index = self.state.applied_index + 1
        command = ApplyRules(self.state.rules.current.version, RULES, "ana")
        raw = msgspec.Raw(COMMANDS.encode(command))
        self.state.apply(index, encode(Envelope(new_request_id(), wall_now(), raw)))
        return index

    async def renew(self, daemon: str, view_index: int, **fields) -> control_pb2.RenewReply:
        request = control_pb2.RenewRequest(
            daemon=daemon, incarnation=1, view_index=view_index, peer_address="p", **fields
        )
        return await self.leases.renew(request)


@pytest.fixture
async def system(request):
    system = _System(getattr(request, "param", LEASE_S))
    await system.kernel.start()
    yield system
    await system.kernel.stop()


async def test_a_change_is_in_force_once_every_live_entry_has_applied_it(system) -> None:
    """
    An operator withdraws an API key. One entry has the new rules, another one has not renewed its
    lease since and still acts on the old rules.

    If the change were acknowledged as soon as it is committed, the second entry would still accept
    the withdrawn key after the acknowledgement.
    """
    await system.renew("e1", 0)
    await system.renew("e2", 0)
    index = system.apply_rules()
    await system.renew("e1", index)
    waiting = asyncio.create_task(system.leases.wait_in_force(index, LONG_S))

    reply = await system.renew("e2", 0)
    assert decode(reply.view, EntryView).index == index
    refused = await system.leases.wait_in_force(index, 0.0)
    assert refused.reason is Reason.IN_PROGRESS and "e2" in refused.detail

    await system.renew("e2", index)
    assert await waiting == index


async def test_a_change_waits_for_an_entry_without_renewals_until_its_lease_has_lapsed(
    system,
) -> None:
    await system.renew("e1", 0)
    lapses_s = system.leases.live_leases()[0].lapses_s
    index = system.apply_rules()

    assert await system.leases.wait_in_force(index, LONG_S) == index

    assert system.kernel.find("timer").now() >= lapses_s


async def test_a_new_leader_waits_for_the_end_of_leases_granted_by_its_predecessor(system) -> None:
    """
    The old leader granted a lease and crashed; the new leader has not received a renewal, so its
    table of leases is empty.

    If the new leader relied on its empty table, it would conclude that no entry acts on a view of
    an older index, although the entry with the old leader's lease may do so.
    """
    index = system.apply_rules()
    assert await system.leases.wait_in_force(index, LONG_S) == index
    system.consensus.term = 2

    refused = await system.leases.wait_in_force(index, 0.0)

    assert refused.reason is Reason.IN_PROGRESS
    assert await system.leases.wait_in_force(index, LONG_S) == index


async def test_a_leadership_starts_with_the_election_not_with_the_first_apply(system) -> None:
    await wait_until(lambda: system.leases._leader_term == 1, "the leadership to be noted")
    since_s = system.leases._leader_since_s
    index = system.apply_rules()

    await system.leases.wait_in_force(index, LONG_S)

    assert system.leases._leader_since_s == since_s


async def test_a_replica_without_its_quorum_grants_nothing(system) -> None:
    system.consensus.is_leader = False

    reply = await system.renew("e1", 0)

    assert (reply.status, reply.leader_hint) == (control_pb2.NOT_LEADER, "c1")
    assert not system.leases.live_leases()


async def test_a_grant_needs_a_quorum_round_that_began_after_its_renewal(system) -> None:
    """
    Seven renewals are received during the quorum round of an earlier renewal.

    That round confirms the leadership only for the time at which the round began; a new leader may
    have been elected since. If the seven leases were granted by that round, the new leader could
    wrongly count them as lapsed.
    """
    first = asyncio.create_task(system.renew("e1", 0))
    await asyncio.sleep(0)
    later = [asyncio.create_task(system.renew(f"e{number}", 0)) for number in range(2, 9)]
    await asyncio.gather(first, *later)

    assert system.consensus.confirms == 2


async def test_an_entry_with_a_higher_index_than_the_state_gets_no_lease(system) -> None:
    reply = await system.renew("e1", 7)

    assert reply.status == control_pb2.INVALID


async def test_the_view_is_sent_when_the_state_or_the_live_entries_changed(system) -> None:
    first = await system.renew("e1", 0)
    assert list(decode(first.view, EntryView).peer_by_daemon) == ["e1"]
    unchanged = await system.renew("e1", 0, peers_digest=first.peers_digest)
    assert not unchanged.view

    await system.renew("e2", 0)
    again = await system.renew("e1", 0, peers_digest=first.peers_digest)

    assert list(decode(again.view, EntryView).peer_by_daemon) == ["e1", "e2"]


@pytest.mark.parametrize("system", [2 * LONG_S], indirect=True)
async def test_a_held_renewal_is_answered_when_the_view_changes(system) -> None:
    """
    The answer to an entry's renewal is held because the entry's view is the newest one; then a
    rules file is accepted.

    Without the hold, the change would reach the entry only at its next renewal.
    """
    first = await system.renew("e1", 0)
    current = {"peers_digest": first.peers_digest, "hold_s": LONG_S}
    held = asyncio.create_task(system.renew("e1", 0, **current))
    await asyncio.sleep(0.05)
    index = system.apply_rules()

    assert decode((await held).view, EntryView).index == index


@pytest.mark.parametrize("system", [2 * LONG_S], indirect=True)
async def test_held_renewals_share_a_quorum_round(system) -> None:
    digests = {}
    for number in range(12):
        digests[f"e{number}"] = (await system.renew(f"e{number}", 0)).peers_digest
    fields = {"peers_digest": digests["e11"], "hold_s": LONG_S}
    held = [asyncio.create_task(system.renew(daemon, 0, **fields)) for daemon in digests]
    await asyncio.sleep(0)
    before = system.consensus.confirms

    system.apply_rules()
    await asyncio.gather(*held)

    assert system.consensus.confirms - before <= 2


def test_holds_end_at_common_ticks_within_their_limit() -> None:
    """
    1000 renewals are received within one second, and the answer to each may be held for half a
    second.

    If each hold ended at its own time, each renewal would need its own quorum round.
    """
    received = [1000.0 + number / 1000 for number in range(1000)]

    ends = [hold_end_s(at, 0.5) for at in received]

    assert len(set(ends)) <= 5
    assert all(at + 0.25 <= end <= at + 0.5 for at, end in zip(received, ends, strict=True))


async def test_the_leader_merges_the_endpoints_that_entries_report(system) -> None:
    def record(sequence: int, state: str = "serving") -> bytes:
        return encode(
            EndpointRecord("engine-1", 1, sequence, "m", "engine", "cheap", "derby", "a", state)
        )

    reply = await system.renew("e1", 0, endpoints=[record(5)])
    assert reply.want_all_endpoints
    await system.renew("e2", 0, endpoints=[record(4, "gone"), b"\xc1"])
    assert system.leases.endpoint_by_id["engine-1"].sequence == 5

    await system.renew("e2", 0, endpoints=[record(6, "gone")])
    assert not system.leases.endpoint_by_id
