from __future__ import annotations

from ibisspring_core.messages.endpoints import Disproof, EndpointLoad, EndpointRecord
from ibisspring_core.messages.views import EntryView
from ibisspring_core.rules import Rules
from ibisspring_core.rules.model import Trainer
from ibisspring_entry.rollouts.engine_choice import DISTRUST_S, EngineChoice

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

    def records_of(self, service: str) -> tuple[EndpointRecord, ...]:
        return tuple(self.records)

    def disprove(self, disproof: Disproof) -> None:
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


def test_no_work_starts_where_the_announced_version_is_too_old() -> None:
    choice = _choice(old=3, bound=4, newest=5, silent=None)

    assert choice.left_out(0.0) == ("old",)
    assert choice.room(0, 0.0) == 24


def test_an_engine_whose_labels_disprove_it_is_left_out_for_a_while() -> None:
    """
    An engine announces version 5 and writes tokens of version 1.

    Kept in use, the emptiest engine would be the lying one, and each sample there is thrown away.
    """
    choice = _choice(liar=5, honest=5)
    choice.disprove("liar", 1, 10.0)

    assert choice._registry.disproofs == [Disproof("liar", 1, "t", 5)]
    assert choice.left_out(10.1) == ("liar",)
    assert choice.left_out(10.1 + DISTRUST_S) == ()


def test_trainers_share_the_engines_by_rule() -> None:
    busy = EndpointLoad(running=8, capacity=8)
    assert _choice(("t", "u"), newest=5).room(0, 0.0) == 8
    assert _choice(("t", "u"), load=busy, newest=5).room(0, 0.0) == 4
    assert _choice(("t", "u", "v"), old=3).room(0, 0.0) == 0
    assert _choice(("u",), newest=5).room(0, 0.0) == 0
