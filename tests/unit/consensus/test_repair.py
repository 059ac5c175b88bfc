from __future__ import annotations

import random
from dataclasses import replace

import pytest

from ibisspring_consensus.events import RemoveLearner, Replace, ReplicaSeen
from ibisspring_consensus.log import Log
from ibisspring_consensus.membership import holders, on_replace, on_replica_seen, on_tick
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
    LAST_CHOICE_S,
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
    learners = [learner.replica for learner in members.learners]
    for other in (*members.voters[1:], *learners):
        replied_at = NOW - REPLACE_AFTER_SILENCE_S - 1 if other.daemon in silent else NOW
        state.progress_by_replica[other] = Progress(1, 2, replied_at=replied_at)
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


LEARNER = ReplicaId("l", "d")
MEMBERS_WITH_LEARNER = replace(MEMBERS_OF_THREE, learners=(Learner(LEARNER, VOTERS[1]),))


def test_silent_learner_is_given_up_for_a_spare_only() -> None:
    # A store is lost while it takes over the data of another one. While it was a learner, no other
    # change began, and later single losses stopped the log.
    state = leader_state(MEMBERS_WITH_LEARNER, silent=("b", "l"))

    assert next_membership_change(state, [SPARE], (), Placement(3)) == RemoveLearner(LEARNER)
    assert next_membership_change(state, [], (), Placement(3)) is None


def test_new_learner_is_not_silent_before_it_can_have_replied() -> None:
    # The leader has led for long, and has just begun to send the log to the learner.
    state = leader_state(MEMBERS_WITH_LEARNER, silent=("b",))
    state.progress_by_replica[LEARNER] = Progress(0, 2, added_at=NOW - 1.0)

    assert next_membership_change(state, [SPARE], (), Placement(3)) is None


def test_new_leader_waits_before_it_gives_up_a_silent_learner() -> None:
    state = leader_state(MEMBERS_WITH_LEARNER, silent=("b", "l"))
    state.leader_since = NOW - 1.0

    assert next_membership_change(state, [SPARE], (), Placement(3)) is None


@pytest.mark.parametrize(
    ("progress", "change"),
    [
        (Progress(0, 2, replied_at=NOW, advanced_at=NOW - 1.0), None),
        (Progress(1, 2, replied_at=NOW, advanced_at=1.0), None),
        (Progress(0, 2, replied_at=NOW, advanced_at=1.0), RemoveLearner(LEARNER)),
    ],
    ids=["receives a large snapshot", "has all entries", "makes no progress"],
)
def test_learner_that_replies_is_given_up_only_if_it_makes_no_progress(progress, change) -> None:
    # The disk of the learner is full, so that it replies to heartbeats and never catches up.
    state = leader_state(MEMBERS_WITH_LEARNER, silent=("b",))
    state.progress_by_replica[LEARNER] = progress

    assert next_membership_change(state, [SPARE], (), Placement(3)) == change


def test_leaving_learner_is_given_up_without_a_spare() -> None:
    # An operator empties the store that takes over the data of another one. It would become a voter
    # in the moment in which its VM is taken away.
    state = leader_state(MEMBERS_WITH_LEARNER)

    assert next_membership_change(state, [], ("l",), Placement(3)) == RemoveLearner(LEARNER)


def test_learner_is_not_exchanged_for_a_disk_that_its_daemon_had_before() -> None:
    # The leader once saw the former disk of a VM that now takes over with a new one. Without this,
    # the learner would be exchanged for a disk that is gone.
    state = leader_state(MEMBERS_OF_THREE, silent=("b",))
    on_replica_seen(state, ReplicaSeen(ReplicaId("s", "former"), "x"))
    assert on_replace(state, Replace(SPARE.replica, VOTERS[1]))
    state.commit_index = state.log.last_index

    on_tick(state)

    assert state.log.members.learners == (Learner(SPARE.replica, VOTERS[1]),)


def test_disks_that_a_change_of_the_members_may_need_are_still_held() -> None:
    # The operator takes a store's VM away once it holds no replica. A store that had just begun to
    # take over, or whose removal the next leader could still revert, counted as emptied.
    state = leader_state(MEMBERS_WITH_LEARNER)
    assert holders(state) == ("a", "b", "c", "l")

    without_b = Members((VOTERS[0], VOTERS[2], LEARNER), cluster="x")
    state.log.append((Entry(2, 1, MEMBERS, encode(without_b)),))
    assert set(holders(state)) == {"a", "b", "c", "l"}
    state.commit_index = 2
    assert holders(state) == ("a", "c", "l")


def test_replica_that_was_given_up_is_the_last_choice() -> None:
    # The leader alone cannot reach one of two spares, which both report to the directory. If it
    # were tried again and again, the other one would never take over.
    unreachable = ReplacementCandidate(LEARNER, "derby")
    state = leader_state(MEMBERS_OF_THREE, silent=("b",))
    state.learner_removed_at[LEARNER] = NOW - 1.0

    assert next_membership_change(state, [unreachable, SPARE], (), Placement(3)) == Replace(
        SPARE.replica, VOTERS[1]
    )
    assert next_membership_change(state, [unreachable], (), Placement(3)) == Replace(
        LEARNER, VOTERS[1]
    )
    state.learner_removed_at[LEARNER] = NOW - LAST_CHOICE_S - 1.0
    assert next_membership_change(state, [unreachable, SPARE], (), Placement(3)) == Replace(
        LEARNER, VOTERS[1]
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
