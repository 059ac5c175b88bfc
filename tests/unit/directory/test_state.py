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
    WindowReported,
)
from ibisspring_directory.state import DirectoryState


def applied(*commands: object) -> DirectoryState:
    state = DirectoryState()
    for index, command in enumerate(commands, 1):
        state.apply(index, COMMANDS.encode(command))
    return state


def table(version: int, document: bytes = b"") -> PutTable:
    return PutTable(RouteTable(version), document or b"%d" % version)


def test_the_highest_version_is_in_force_in_whatever_order_they_come() -> None:
    # Two operators change the configuration at once, and the older change arrives last: the newer
    # one must not be undone.
    state = applied(table(7), table(5), table(6))

    assert state.table_version == 7
    assert state.document == b"7"


def test_other_content_under_the_version_held_changes_nothing() -> None:
    state = applied(table(7, b"first"), table(7, b"second"))

    assert state.document == b"first"


def test_a_window_keeps_the_figures_it_was_closed_with() -> None:
    # A leader reports a window and is deposed; its successor closes the window again with counts
    # that came late. Two different figures for one window would be billed.
    state = applied(
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


def test_an_endpoint_that_left_does_not_join_again_under_the_same_start() -> None:
    state = applied(EndpointJoins(record(5)), EndpointLeaves("e1", 5, "leaving"))
    assert state.joined_by_id == {}

    state.apply(3, COMMANDS.encode(EndpointJoins(record(5))))
    assert state.joined_by_id == {}
    state.apply(4, COMMANDS.encode(EndpointJoins(record(6))))
    state.apply(5, COMMANDS.encode(EndpointJoins(record(4))))
    assert state.joined_by_id == {"e1": record(6)}


def test_versions_of_weights_only_rise() -> None:
    assert applied(PutVersion("m", 3), PutVersion("m", 2)).version_by_model == {"m": 3}


def test_the_jobs_are_founded_once() -> None:
    first = Group("a", (Member("10.0.0.1:1", "s1", "derby", "d1", True),))
    state = applied(FoundJobs(first), FoundJobs(Group("b", ())))

    assert state.job_group == first


def test_a_snapshot_holds_all_and_is_the_same_after_a_restore() -> None:
    state = applied(
        table(7, b"document"),
        PutVersion("m", 3),
        EndpointLeaves("e1", 5, "leaving"),
        EndpointJoins(record(6)),
        FoundJobs(Group("a", (Member("10.0.0.1:1", "s1", "derby", "d1", True),))),
        RetireStore("10.0.0.1:1"),
        CloseWindow(10, (("forge", 4),)),
    )
    again = DirectoryState()
    again.restore(state.snapshot())

    assert again.snapshot() == state.snapshot()
    assert again.joined_by_id == {"e1": record(6)}
    assert again.left == {("e1", 5): "leaving"}
    assert again.retiring == ("10.0.0.1:1",)
    assert again.table_version == 7
