from __future__ import annotations

from ibisspring_core.messages.directory import Group, Member
from ibisspring_core.messages.endpoints import EndpointRecord
from ibisspring_core.routes import RouteTable
from ibisspring_directory.commands import (
    COMMANDS,
    CloseWindow,
    EndpointJoins,
    EndpointLeaves,
    FoundJobs,
    PutTable,
    PutVersion,
    RetireStore,
    SetEvacuation,
    WindowReported,
)
from ibisspring_directory.state import DirectoryState


def apply_all(*commands: object) -> DirectoryState:
    state = DirectoryState()
    for index, command in enumerate(commands, 1):
        state.apply(index, COMMANDS.encode(command))
    return state


def put_table(version: int, document: bytes = b"") -> PutTable:
    return PutTable(RouteTable(version), document or b"%d" % version)


def test_the_highest_version_is_in_force_regardless_of_arrival_order() -> None:
    # Two operators replace the route table at the same time, and the older version is applied last.
    # If the order of arrival decided, the older table would replace the newer one.
    state = apply_all(put_table(7), put_table(5), put_table(6))

    assert state.table_version == 7
    assert state.document == b"7"


def test_other_content_with_the_same_version_is_ignored() -> None:
    state = apply_all(put_table(7, b"first"), put_table(7, b"second"))

    assert state.document == b"first"


def test_a_closed_window_keeps_its_counts() -> None:
    # A leader closes and reports a usage window and is deposed. Its successor closes the window
    # again, with counts that arrived late. If these replaced the first counts, two different sets
    # of counts would be billed for one window.
    state = apply_all(
        CloseWindow(10, (("forge", 4),)),
        CloseWindow(10, (("forge", 5),)),
        CloseWindow(9, (("forge", 1),)),
        CloseWindow(11, ()),
    )

    assert [window.counts for window in state.window_by_number.values()] == [(("forge", 4),), ()]
    state.apply(9, COMMANDS.encode(WindowReported(10)))
    assert list(state.window_by_number) == [11]
    assert state.closed_window == 11


def record(incarnation: int) -> EndpointRecord:
    return EndpointRecord("e1", incarnation, 1, "scorer", "engine", "standard", "derby", "h:1")


def test_an_endpoint_that_left_cannot_rejoin_under_the_same_incarnation() -> None:
    state = apply_all(EndpointJoins(record(5)), EndpointLeaves("e1", 5, "leaving"))
    assert state.joined_by_endpoint == {}

    state.apply(3, COMMANDS.encode(EndpointJoins(record(5))))
    assert state.joined_by_endpoint == {}
    state.apply(4, COMMANDS.encode(EndpointJoins(record(6))))
    state.apply(5, COMMANDS.encode(EndpointJoins(record(4))))
    assert state.joined_by_endpoint == {"e1": record(6)}


def test_weight_versions_only_rise() -> None:
    assert apply_all(PutVersion("m", 3), PutVersion("m", 2)).version_by_model == {"m": 3}


def test_the_jobs_log_is_bootstrapped_once() -> None:
    first = Group("a", (Member("10.0.0.1:1", "s1", "derby", "d1", True),))
    state = apply_all(FoundJobs(first), FoundJobs(Group("b", ())))

    assert state.job_group == first


def test_a_snapshot_is_complete_and_identical_after_a_restore() -> None:
    state = apply_all(
        put_table(7, b"document"),
        PutVersion("m", 3),
        EndpointLeaves("e1", 5, "leaving"),
        EndpointJoins(record(6)),
        FoundJobs(Group("a", (Member("10.0.0.1:1", "s1", "derby", "d1", True),))),
        RetireStore("10.0.0.1:1"),
        CloseWindow(10, (("forge", 4),)),
    )
    restored = DirectoryState()
    restored.restore(state.snapshot())

    assert restored.snapshot() == state.snapshot()
    assert restored.joined_by_endpoint == {"e1": record(6)}
    assert restored.state_by_departed == {("e1", 5): "leaving"}
    assert restored.retiring == ("10.0.0.1:1",)
    assert restored.table_version == 7


def test_evacuations_are_in_the_snapshot_and_go_on_with_their_numbers() -> None:
    # A control daemon starts from a snapshot. If the evacuations were missing there, or the numbers
    # of their changes began anew, a late call could undo a newer one.
    state = apply_all(
        SetEvacuation("derby", True, 0),
        SetEvacuation("stoke", True, 0),
        SetEvacuation("derby", False, 1),
    )
    restored = DirectoryState()
    restored.restore(state.snapshot())

    assert restored.evacuated == ("stoke",)
    assert restored.evacuation_change == 3
    restored.apply(4, COMMANDS.encode(SetEvacuation("derby", True, 1)))
    assert restored.evacuated == ("stoke",)
    restored.apply(5, COMMANDS.encode(SetEvacuation("derby", True, 3)))
    assert restored.evacuated == ("derby", "stoke")
