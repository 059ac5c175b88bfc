"""Messages between operators and the directory's leader about evacuations of data centres."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Evacuation:
    """
    Whether the endpoints of a data centre get new requests.

    :param data_centre: name of the data centre.
    :param change: number of the change that made this record; rises with each change.
    :param active: True while the endpoints get no new requests; False after the evacuation ended.
    """

    data_centre: str
    change: int
    active: bool


@dataclass(frozen=True)
class Evacuate:
    """
    An operator starts or ends the evacuation of a data centre.

    :param data_centre: name of the data centre.
    :param active: True starts the evacuation, False ends it.
    :param expected_change: number of the data centre's newest change that the caller has read, 0
        for none. If another change came in between, nothing is changed; a call that was delayed in
        the system thus never reverts a later one.
    """

    data_centre: str
    active: bool
    expected_change: int


@dataclass(frozen=True)
class Evacuated:
    """
    Answer to `Evacuate`: the change is durable and in force in all active daemons.

    :param evacuation: the data centre's record, which may be older than the call if it already had
        the wanted state.
    """

    evacuation: Evacuation


@dataclass(frozen=True)
class ReadEvacuations:
    """Asks for the evacuations, after a quorum confirmed that no newer ones are committed."""


@dataclass(frozen=True)
class EvacuationsRead:
    """
    Answer to `ReadEvacuations`.

    :param evacuations: the newest record of each data centre that was ever evacuated.
    :param data_centres: all data centres that the system knows.
    """

    evacuations: tuple[Evacuation, ...]
    data_centres: tuple[str, ...]


__all__ = ["Evacuate", "Evacuated", "Evacuation", "EvacuationsRead", "ReadEvacuations"]
