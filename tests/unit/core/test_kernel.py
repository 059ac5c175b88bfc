from __future__ import annotations

import pytest

from ibisspring_core.kernel import Kernel


class _Recorder:
    def __init__(self, name: str, events: list[str], fails: bool = False) -> None:
        self.name = name
        self.events = events
        self.fails = fails

    async def start(self, kernel: Kernel) -> None:
        if self.fails:
            raise RuntimeError("start failed")
        self.events.append(f"start {self.name}")

    async def stop(self) -> None:
        self.events.append(f"stop {self.name}")


async def test_services_stop_in_reverse_order() -> None:
    events: list[str] = []
    kernel = Kernel.from_services((_Recorder("a", events), _Recorder("b", events)))

    await kernel.start()
    await kernel.stop()

    assert events == ["start a", "start b", "stop b", "stop a"]


async def test_failed_start_stops_the_services_that_had_started() -> None:
    events: list[str] = []
    kernel = Kernel.from_services((_Recorder("a", events), _Recorder("b", events, fails=True)))

    with pytest.raises(RuntimeError):
        await kernel.start()

    assert events == ["start a", "stop a"]


def test_second_service_with_the_same_name_is_rejected() -> None:
    with pytest.raises(ValueError, match="twice"):
        Kernel.from_services((_Recorder("a", []), _Recorder("a", [])))
