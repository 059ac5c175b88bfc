"""What a daemon's copy of the directory keeps when views arrive out of order or come late."""

from __future__ import annotations

from ibisspring_core import directory_view
from ibisspring_core.counters import Counters
from ibisspring_core.directory_view import DirectoryView
from ibisspring_core.messages.crash_suspects import SuspectSummary
from ibisspring_core.messages.directory import AgedEndpoint, View
from ibisspring_core.messages.endpoints import EndpointRecord
from ibisspring_core.settings.vm import ENTRY, VmSettings

SETTINGS = VmSettings("e1", ENTRY, "derby", "10.0.0.1:1", ())


def endpoint(name: str, data_centre: str, cold_s: float = 0.0) -> EndpointRecord:
    address = f"{name}:80"
    return EndpointRecord(
        name, 1, 1, "scorer", "engine", "standard", data_centre, address, cold_s=cold_s
    )


def view_with(
    *endpoints: EndpointRecord, age_s: float = 0.0, epoch: int = 3, **fields: object
) -> View:
    placed = tuple(AgedEndpoint(record, age_s) for record in endpoints)
    return View(epoch, 1, endpoints=placed, **fields)


def view_of_daemon() -> DirectoryView:
    view = DirectoryView.from_config(SETTINGS)
    view._counters = Counters.from_config(None)
    return view


def test_endpoints_of_an_evacuated_data_centre_do_not_serve() -> None:
    view = view_of_daemon()
    near, far = endpoint("e1", "derby"), endpoint("e2", "stoke")

    view._apply(view_with(near, far, evacuated=("derby",), evacuation_change=1))
    assert view.serving("scorer") == (far,)
    assert view.has_evacuated("scorer")

    view._apply(view_with(near, far, evacuation_change=2))
    assert view.serving("scorer") == (near, far)
    assert not view.has_evacuated("scorer")


def test_an_evacuation_in_force_is_not_undone_by_the_view_of_a_lagging_leader() -> None:
    # The daemon confirmed an evacuation, and the operator was told so. A new leader answers a
    # renewal before it has applied the last entries of its log.
    view = view_of_daemon()
    record = endpoint("e1", "derby")
    view._apply(view_with(record, evacuated=("derby",), evacuation_change=1))

    view._apply(view_with(record, epoch=4))

    assert view.serving("scorer") == ()
    assert view.view.evacuation_change == 1


def test_suspects_are_kept_over_the_view_of_a_lagging_leader() -> None:
    # A new leader answers a renewal before it has applied the last entries of its log. A request in
    # quarantine would be sent again until the next view.
    view = view_of_daemon()
    suspects = {"q": SuspectSummary(3, True)}
    view._apply(view_with(suspects=suspects, suspect_change=3))

    view._apply(view_with(epoch=4, suspect_change=2))
    assert (view.view.suspects, view.view.suspect_change) == (suspects, 3)
    view._apply(view_with(epoch=4, suspect_change=4))
    assert view.view.suspects == {}


def test_a_cold_endpoint_is_warm_when_the_time_of_its_announcement_has_passed(monkeypatch) -> None:
    # The announcement was a second old when the view arrived. It is counted down on this daemon's
    # clock, whatever the endpoint's own clock says.
    view = view_of_daemon()
    now = 1000.0
    monkeypatch.setattr(directory_view, "boot_now", lambda: now)
    view._apply(view_with(endpoint("e1", "derby", cold_s=3.0), age_s=1.0))

    assert view.is_cold("e1")
    now += 1.9
    assert view.is_cold("e1")
    now += 0.2
    assert not view.is_cold("e1")
    assert not view.is_cold("unknown")
