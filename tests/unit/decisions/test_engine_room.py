from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ibisspring_decisions.engine_room import NEVER, EngineRoom, FurtherSlots

HORIZON_S = 1000.0
WALL_S = 1_800_000_000.25
TAKES = st.lists(st.tuples(st.floats(0.0, 50.0), st.floats(0.0, 30.0)), min_size=1, max_size=20)


def test_work_takes_all_free_slots_from_its_start() -> None:
    room = EngineRoom(10.0, 4)

    assert room.take(8.0, 11.0) == 13.0
    assert room.take(4.0, 10.0) == 11.0
    assert room.take(4.0, 10.0) == 14.0


def test_slots_that_boot_count_from_their_time_only() -> None:
    room = EngineRoom(0.0, 1, (FurtherSlots(2.0, 3),))

    assert room.take(6.0, 0.0) == 3.0
    assert EngineRoom(0.0, 0).take(1.0, 0.0) == NEVER


@given(
    now=st.sampled_from((0.0, WALL_S)),
    slots=st.integers(1, 100),
    more=st.integers(0, 20),
    takes=TAKES,
)
def test_no_slot_second_is_taken_twice(now: float, slots: int, more: int, takes: list) -> None:
    # Two jobs that were promised the same slot-seconds would both come late. On a wall clock the
    # ends of short work are rounded; the rest of the time must stay free.
    room = EngineRoom(now, slots, (FurtherSlots(now + 5.0, more),))
    free_s = room.free_slot_s(now, now + HORIZON_S)

    for slot_s, from_s in takes:
        end_s = room.take(slot_s, now + from_s)
        assert now + from_s <= end_s < now + HORIZON_S

    left_s = room.free_slot_s(now, now + HORIZON_S)
    assert left_s == pytest.approx(free_s - sum(slot_s for slot_s, _ in takes), abs=1e-2)
