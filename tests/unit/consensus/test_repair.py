from __future__ import annotations

import random
from dataclasses import replace

import pytest

from ibisspring_consensus.events import Replace
from ibisspring_consensus.log import Log
from ibisspring_consensus.messages import (
    MEMBERS,
    Entry,
    HardState,
    Learner,
    Members,
    ReplicaId,
    SnapshotMeta,
)
from ibisspring_consensus.repair import (
    REPLACE_AFTER_SILENCE_S,
    Placement,
    ReplacementCandidate,
    next_membership_change,
)
from ibisspring_consensus.state import LEADER, CoreConfig, CoreState, Progress
from ibisspring_core.messages.codec import encode

VOTERS = tuple(ReplicaId(name, "d") for name in "abc")
SPARE = ReplacementCandidate(ReplicaId("s", "d"), "derby")
NOW = 100.0


def leader_state(members: Members, silent: tuple[str, ...] = ()) -> CoreState:
    entry = Entry(1, 1, MEMBERS, encode(members))
    state = CoreState(
        replica=VOTERS[0],
        config=CoreConfig(),
        randomness=random.Random(1),
        hard_state=HardState(term=1),
        log=Log.from_entries(SnapshotMeta(), 0, 0, (entry,)),
        commit_index=1,
        now=NOW,
        started_at=0.0,
        election_due_at=0.0,
        synced_index=1,
        role=LEADER,
    )
    for voter in members.voters[1:]:
        replied_at = NOW - REPLACE_AFTER_SILENCE_S - 1 if voter.daemon in silent else NOW
        state.progress_by_replica[voter] = Progress(1, 2, replied_at=replied_at)
    return state


MEMBERS_OF_THREE = Members(VOTERS, cluster="x")


def test_permanently_lost_voter_is_replaced_by_a_spare() -> None:
    # One of three voting stores is permanently lost, and an empty store starts at another address.
    # If the empty store did not replace the lost voter, the loss of one more store would stop the
    # log.
    state = leader_state(MEMBERS_OF_THREE, silent=("b",))

    assert next_membership_change(state, [SPARE], (), Placement(3)) == Replace(
        SPARE.replica, VOTERS[1]
    )


def test_a_replacement_comes_from_the_data_centre_with_the_fewest_voters() -> None:
    # Of thirty stores, the first ones by address are in one data centre. If these stores always
    # replaced lost voters, all voters would end up in this data centre, and its loss would stop the
    # log.
    state = leader_state(MEMBERS_OF_THREE, silent=("c",))
    responsive_voters = [
        ReplacementCandidate(VOTERS[0], "derby"),
        ReplacementCandidate(VOTERS[1], "stoke"),
    ]
    same_data_centre_spare = ReplacementCandidate(ReplicaId("p", "d"), "derby")
    other_data_centre_spare = ReplacementCandidate(ReplicaId("q", "d"), "walsall")

    assert next_membership_change(
        state,
        [*responsive_voters, same_data_centre_spare, other_data_centre_spare],
        (),
        Placement(3),
    ) == Replace(other_data_centre_spare.replica, VOTERS[2])
    assert next_membership_change(
        state,
        [*responsive_voters, same_data_centre_spare, other_data_centre_spare],
        (),
        Placement(5),
    ) == Replace(other_data_centre_spare.replica, None)
    assert next_membership_change(
        state, [*responsive_voters, same_data_centre_spare], (), Placement(3)
    ) == Replace(same_data_centre_spare.replica, VOTERS[2])


def test_silent_voter_stays_while_there_is_no_spare() -> None:
    # A partition isolates one of three voters. If the isolated voter were removed, the loss of one
    # more voter would stop the log.
    state = leader_state(MEMBERS_OF_THREE, silent=("b",))

    assert next_membership_change(state, [], (), Placement(3)) is None


def test_responsive_voter_stays() -> None:
    assert next_membership_change(leader_state(MEMBERS_OF_THREE), [SPARE], (), Placement(3)) is None


def test_leaving_voter_is_replaced_although_it_responds() -> None:
    state = leader_state(MEMBERS_OF_THREE)

    assert next_membership_change(state, [SPARE], ("c",), Placement(3)) == Replace(
        SPARE.replica, VOTERS[2]
    )
    assert next_membership_change(state, [SPARE], ("c", "s"), Placement(3)) is None
    assert next_membership_change(state, [SPARE], ("a",), Placement(3)) == Replace(
        SPARE.replica, VOTERS[0]
    )


def test_voters_are_added_up_to_the_wanted_number() -> None:
    state = leader_state(MEMBERS_OF_THREE)

    assert next_membership_change(state, [SPARE], (), Placement(5)) == Replace(SPARE.replica, None)


@pytest.mark.parametrize(
    "members",
    [
        replace(MEMBERS_OF_THREE, learners=(Learner(ReplicaId("l", "d")),)),
        replace(MEMBERS_OF_THREE, outgoing=VOTERS),
    ],
    ids=["a learner", "a change"],
)
def test_one_change_at_a_time(members) -> None:
    assert (
        next_membership_change(leader_state(members, silent=("b",)), [SPARE], (), Placement(3))
        is None
    )


def test_new_leader_waits_before_it_replaces_silent_voters() -> None:
    state = leader_state(MEMBERS_OF_THREE, silent=("b",))
    state.leader_since = NOW - 1.0

    assert next_membership_change(state, [SPARE], (), Placement(3)) is None


FIVE_VOTERS = tuple(ReplicaId(name, "d") for name in "abcde")
DATA_CENTRE_BY_VOTER = {"a": "derby", "b": "derby", "c": "stoke", "d": "stoke", "e": "walsall"}
TWO_PER_DATA_CENTRE = Placement(5, 2, DATA_CENTRE_BY_VOTER)


def responding(*daemons: str) -> list[ReplacementCandidate]:
    return [
        ReplacementCandidate(ReplicaId(name, "d"), DATA_CENTRE_BY_VOTER[name]) for name in daemons
    ]


def spares(*data_centres: str) -> list[ReplacementCandidate]:
    return [
        ReplacementCandidate(ReplicaId(f"s-{data_centre}", "d"), data_centre)
        for data_centre in data_centres
    ]


def test_voters_of_a_lost_data_centre_are_not_gathered_in_the_others() -> None:
    # A data centre with two of five voters loses its power for some seconds. If both voters were
    # replaced by stores of the other two data centres, one of these would hold three voters, and
    # its loss would stop the log although the first data centre is back.
    state = leader_state(Members(FIVE_VOTERS, cluster="x"), silent=("c", "d"))
    alive = responding("a", "b", "e")

    change = next_membership_change(
        state, [*alive, *spares("derby", "walsall")], (), TWO_PER_DATA_CENTRE
    )
    assert change == Replace(ReplicaId("s-walsall", "d"), FIVE_VOTERS[2])

    members = Members((*FIVE_VOTERS[:2], *FIVE_VOTERS[3:], change.new), cluster="x")
    state = leader_state(members, silent=("d",))
    new_voter = ReplacementCandidate(change.new, "walsall")
    others = [ReplacementCandidate(ReplicaId("t", "d"), "walsall"), *spares("derby")]
    assert (
        next_membership_change(state, [*alive, new_voter, *others], (), TWO_PER_DATA_CENTRE) is None
    )


def test_a_voter_of_a_crowded_data_centre_moves_to_another_one() -> None:
    # The seeds of a system stand in one data centre. Its loss would stop the log, so one of these
    # voters is replaced as soon as another data centre has a replica to offer.
    data_centres = {"a": "derby", "b": "derby", "c": "derby", "d": "stoke", "e": "walsall"}
    placement = Placement(5, 2, data_centres)
    state = leader_state(Members(FIVE_VOTERS, cluster="x"))

    assert next_membership_change(state, spares("derby"), (), placement) is None
    assert next_membership_change(state, spares("stoke"), (), placement) == Replace(
        ReplicaId("s-stoke", "d"), FIVE_VOTERS[1]
    )


def test_without_a_limit_voters_may_gather_in_one_data_centre() -> None:
    state = leader_state(Members(FIVE_VOTERS, cluster="x"), silent=("e",))

    change = next_membership_change(
        state, [*responding("a", "b", "c", "d"), *spares("derby")], (), Placement(5)
    )

    assert change == Replace(ReplicaId("s-derby", "d"), FIVE_VOTERS[4])
