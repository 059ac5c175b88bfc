from __future__ import annotations

from ibisspring_core.messages.endpoints import Disproof, EndpointLoad, EndpointRecord
from ibisspring_core.messages.views import EntryView
from ibisspring_core.rules import Rules
from ibisspring_core.rules.model import Trainer
from ibisspring_entry.rollouts.engine_choice import EXCLUSION_S, EngineChoice

IDLE = EndpointLoad(capacity=8)


class _Lease:
    def __init__(self, sharing: tuple[str, ...]) -> None:
        self.sharing = sharing

    def view(self) -> EntryView:
        return EntryView(1, 1, "", version_by_trainer={"t": 5})

    def rules(self) -> Rules:
        return Rules(
            trainer_by_name={"t": Trainer("t", "forge", 1)},
            trainers_by_model={"scorer-lm": self.sharing},
        )


class _Registry:
    def __init__(self, records: list[EndpointRecord]) -> None:
        self.records = records
        self.disproofs: list[Disproof] = []

    def available_endpoints(self, service: str) -> tuple[EndpointRecord, ...]:
        return tuple(self.records)

    def report_false_version(self, disproof: Disproof) -> None:
        self.disproofs.append(disproof)


def _choice(
    sharing: tuple[str, ...] = ("t",),
    load: EndpointLoad = IDLE,
    **version_by_engine: int | None,
) -> EngineChoice:
    records = []
    for name, version in version_by_engine.items():
        versions = {} if version is None else {"t": version}
        records.append(
            EndpointRecord(
                name,
                1,
                1,
                "scorer-lm",
                "engine",
                "standard",
                "derby",
                "127.0.0.1:1",
                version_by_adapter=versions,
                load=load,
            )
        )
    return EngineChoice(_Lease(sharing), _Registry(records), "t", "scorer-lm")


def test_engine_with_too_old_announced_version_is_excluded() -> None:
    choice = _choice(old=3, bound=4, newest=5, unannounced=None)

    assert choice.excluded(0.0) == ("old",)
    assert choice.concurrency_limit(0, 0.0) == 24


def test_engine_with_falsely_announced_version_is_excluded_for_a_limited_time() -> None:
    """
    An engine announces version 5 but labels its tokens with version 1.

    Without the exclusion, this engine would always have the fewest requests and so receive every
    new attempt, and each of its samples would be discarded.
    """
    choice = _choice(wrong=5, correct=5)
    choice.exclude_and_report("wrong", 1, 10.0)

    assert choice._registry.disproofs == [Disproof("wrong", 1, "t", 5)]
    assert choice.excluded(10.1) == ("wrong",)
    assert choice.excluded(10.1 + EXCLUSION_S) == ()


def test_concurrency_limit_follows_the_share_rules() -> None:
    busy = EndpointLoad(running=8, capacity=8)
    assert _choice(("t", "u"), newest=5).concurrency_limit(0, 0.0) == 8
    assert _choice(("t", "u"), load=busy, newest=5).concurrency_limit(0, 0.0) == 4
    assert _choice(("t", "u", "v"), old=3).concurrency_limit(0, 0.0) == 0
    assert _choice(("u",), newest=5).concurrency_limit(0, 0.0) == 0
