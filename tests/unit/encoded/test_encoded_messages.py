"""
Bytes of messages, stored records and JSON documents stay the same from release to release.

Class names and field names are written into these bytes. If a class or field were renamed, a daemon
of the next release would reject the messages of its peers, or lose what its own disk holds. The
file `encoded_messages.json` contains one encoded sample of each type, written by an earlier
release; `python -m unit.encoded.test_encoded_messages` adds samples of the types that the file
lacks.

A type may get a field with a default: an older daemon ignores it, a newer one uses the default in
its place. `ADDED_FIELDS` lists each such field, and the bytes of all other fields stay the same.
The extended type gets one more sample, whose name ends with the number of its form. Fields that
were added after the second form of their type are in `LATER_FIELDS` too, and the type gets a third;
`LATEST_FIELDS` has those that were added after the third.
"""

from __future__ import annotations

import functools
import json
import sys
from pathlib import Path
from typing import Any

import msgspec
import pytest
from msgspec import inspect

from ibisspring_consensus.messages import MESSAGES, SnapshotMeta
from ibisspring_consensus.storage import LogRecord, SegmentStart, StoredHardState
from ibisspring_control.state.machine import Snapshot as ControlSnapshot
from ibisspring_control.state.suspects import SuspectsSnapshot
from ibisspring_core.messages import commands, directory
from ibisspring_core.messages.codec import KindCodec, decode, encode
from ibisspring_core.messages.endpoints import EndpointRecord
from ibisspring_core.messages.peers import PEER_MESSAGES
from ibisspring_core.settings import Settings
from ibisspring_directory.commands import COMMANDS as DIRECTORY_COMMANDS
from ibisspring_directory.state import Snapshot as DirectorySnapshot
from ibisspring_entry.proxy.engine_wire import EngineLine
from ibisspring_entry.rollouts.step_request import StepRequest
from ibisspring_jobs.commands import COMMANDS as JOBS_COMMANDS
from ibisspring_jobs.state import JobsSnapshot, StoredJob

sys.path.append(str(Path(__file__).resolve().parents[3] / "platform"))

from ibisspring_platform.announcements import Departure, Heartbeat  # noqa: E402
from ibisspring_platform.batch_jobs import WireJob, WireResults  # noqa: E402
from ibisspring_platform.configuration import Document  # noqa: E402
from ibisspring_platform.control_http import VersionPut  # noqa: E402
from ibisspring_platform.day_reports import DayReport  # noqa: E402
from ibisspring_platform.orders import Report  # noqa: E402
from ibisspring_platform.settings import BootFile, Limits  # noqa: E402

ENCODED = Path(__file__).with_name("encoded_messages.json")
CODEC_BY_NAME: dict[str, KindCodec] = {
    "consensus": MESSAGES,
    "control_commands": commands.COMMANDS,
    "control_results": commands.RESULTS,
    "directory_commands": DIRECTORY_COMMANDS,
    "jobs_commands": JOBS_COMMANDS,
    "peers": PEER_MESSAGES,
}
# Types that are stored or sent without the name of their kind of message, by the name of their
# sample in `encoded_messages.json`. The name of a sample is the first name that its type had.
TYPE_BY_NAME: dict[str, Any] = {
    "hard_state": StoredHardState,
    "segment_start": SegmentStart,
    "log_record": LogRecord,
    "snapshot_meta": SnapshotMeta,
    "control_envelope": commands.Envelope,
    "control_snapshot": ControlSnapshot,
    "directory_snapshot": DirectorySnapshot,
    "jobs_snapshot": tuple[StoredJob, ...],
    "jobs_snapshot_with_shares": JobsSnapshot,
    "job_group": directory.Group,
    "endpoint_record": EndpointRecord,
}
# Types that are read from JSON or written as JSON, by the name of their sample.
JSON_TYPE_BY_NAME: dict[str, Any] = {
    "boot_file": BootFile,
    "configuration": Document,
    "day_report": DayReport,
    "departure": Departure,
    "engine_line": EngineLine,
    "heartbeat": Heartbeat,
    "job": WireJob,
    "job_results": WireResults,
    "settings": Settings,
    "step": StepRequest,
    "usage_report": Report,
    "version": VersionPut,
}


# Fields that were added after the first sample of their type, by name of the type.
ADDED_FIELDS: dict[str, dict[str, Any]] = {
    "Assignment": {"data_centre": "", "paced": False, "regions": None, "begin_within_s": 0.2},
    "BootFile": {"zones": {}, "limits": Limits()},
    "BodyRead": {"size": 0},
    "Bounds": {"evacuate_ms": 0.0, "cold_overshoot": 1.0, "cold_slack": 0.0},
    "ClientAccount": {"regions": ()},
    "DirectoryStatus": {"evacuated": ()},
    "EndpointRecord": {"cold_s": 0.0},
    "EntrySettings": {"max_answer_bytes": 16_777_216},
    "HeldRun": {"failure": "", "run_id": ""},
    "HoldJob": {"after": ""},
    "Job": {"regions": None},
    "JobStatus": {"held": False},
    "JobsSnapshot": {"hold_requests": (), "uploads": ()},
    "Heartbeat": {"cold_left_ms": 0.0},
    "Limits": {"header_timeout_ms": 3000.0},
    "Outcome": {"endpoint_ended": False, "run_id": ""},
    "ReadBody": {"begin": 0, "max_bytes": None},
    "Renew": {"evacuation_change": 0},
    "Route": {"regions": ()},
    "RouteTable": {"header_s": 3.0},
    "ServiceTerms": {"cold_requests_per_s": 0.0},
    "Snapshot": {
        "evacuations": (),
        "suspects": (),
        "suspect_change": 0,
        "crash_suspects": SuspectsSnapshot(),
    },
    "StoredJob": {"failures": ()},
    "TakeWork": {"held": (), "capacity": 0},
    "Tolerance": {"zones": 0},
    "Unchanged": {"cold_shares": {}},
    "VoteReply": {"is_idle": False, "last_index": 0, "last_term": 0},
    "View": {
        "evacuated": (),
        "evacuation_change": 0,
        "cold_shares": {},
        "suspects": {},
        "suspect_change": 0,
    },
    "WireRoute": {"allowed_regions": []},
    "WireService": {"cold_per_s": 0.0},
    "WireTenant": {"allowed_regions": []},
    "WorkReported": {"accepted": True},
    "Work": {"held_s": 0.0, "adopted": ()},
}
# Those of `ADDED_FIELDS` that the second form of their type lacks.
LATER_FIELDS: dict[str, dict[str, Any]] = {
    "Assignment": {"begin_within_s": 0.2},
    "BootFile": {"limits": Limits()},
    "HeldRun": {"failure": "", "run_id": ""},
    "JobsSnapshot": {"uploads": ()},
    "Limits": {"header_timeout_ms": 3000.0},
    "Outcome": {"run_id": ""},
    "RouteTable": {"header_s": 3.0},
    "Snapshot": {"suspects": (), "suspect_change": 0, "crash_suspects": SuspectsSnapshot()},
    "StoredJob": {"failures": ()},
    "TakeWork": {"capacity": 0},
    "View": {"suspects": {}, "suspect_change": 0},
}
# Those that the third form lacks.
LATEST_FIELDS: dict[str, dict[str, Any]] = {
    "HeldRun": {"failure": "", "run_id": ""},
    "Limits": {"header_timeout_ms": 3000.0},
    "RouteTable": {"header_s": 3.0},
}
# Fields that each form lacks.
LACKING_BY_FORM: dict[int, dict[str, dict[str, Any]]] = {
    1: ADDED_FIELDS,
    2: LATER_FIELDS,
    3: LATEST_FIELDS,
    4: {},
}
NEWEST_FORM = 4
FORM_MARK = "~"


def added_fields(kind: inspect.DataclassType | inspect.StructType, form: int = 1) -> dict[str, Any]:
    return LACKING_BY_FORM[form].get(kind.cls.__name__, {})


def sample(kind: inspect.Type, name: str, form: int) -> Any:
    """
    Return plain data that converts to a type; a field holds its own name or a fixed value.

    :param form: the form whose fields the data has.
    """
    if isinstance(kind, inspect.DataclassType | inspect.StructType):
        added = added_fields(kind, form)
        return {
            field.encode_name: sample(field.type, field.encode_name, form)
            for field in kind.fields
            if field.name not in added
        }
    if isinstance(kind, inspect.UnionType):
        first = next(t for t in kind.types if not isinstance(t, inspect.NoneType))
        return sample(first, name, form)
    if isinstance(kind, inspect.DictType):
        return {sample(kind.key_type, "key", form): sample(kind.value_type, name, form)}
    collections = inspect.VarTupleType | inspect.ListType | inspect.SetType | inspect.FrozenSetType
    if isinstance(kind, collections):
        return [sample(kind.item_type, name, form)]
    if isinstance(kind, inspect.TupleType):
        return [sample(item, name, form) for item in kind.item_types]
    if isinstance(kind, inspect.EnumType):
        return next(iter(kind.cls)).value
    if isinstance(kind, inspect.LiteralType):
        return kind.values[0]
    value_by_type = {
        inspect.StrType: name,
        inspect.IntType: 7,
        inspect.FloatType: 2.5,
        inspect.BoolType: True,
        inspect.BytesType: name.encode(),
        inspect.RawType: {"raw": 1},
        inspect.AnyType: name,
    }
    return value_by_type[type(kind)]


def plain_of(message_type: Any, form: int = NEWEST_FORM) -> Any:
    return sample(inspect.type_info(message_type), "", form)


def sample_of(message_type: Any, form: int = NEWEST_FORM) -> Any:
    """Return a sample of a form of a type; the fields that it lacks have their defaults."""
    plain = plain_of(message_type, form)
    return msgspec.msgpack.decode(msgspec.msgpack.encode(plain), type=message_type)


def without_added(kind: inspect.Type, plain: Any, form: int) -> Any:
    """Remove the fields that a form lacks from the plain data of a type, at any depth."""
    if isinstance(kind, inspect.DataclassType | inspect.StructType):
        added = added_fields(kind, form)
        return {
            field.encode_name: without_added(field.type, plain[field.encode_name], form)
            for field in kind.fields
            if field.name not in added
        }
    if isinstance(kind, inspect.UnionType):
        first = next(t for t in kind.types if not isinstance(t, inspect.NoneType))
        return without_added(first, plain, form)
    if isinstance(kind, inspect.DictType):
        return {key: without_added(kind.value_type, value, form) for key, value in plain.items()}
    if isinstance(kind, inspect.VarTupleType | inspect.ListType):
        return [without_added(kind.item_type, item, form) for item in plain]
    if isinstance(kind, inspect.TupleType):
        return [
            without_added(item, value, form)
            for item, value in zip(kind.item_types, plain, strict=True)
        ]
    return plain


def type_named(name: str) -> Any:
    group, _, kind = name.partition(".")
    if group == "stored":
        return TYPE_BY_NAME[kind]
    if group == "json":
        return JSON_TYPE_BY_NAME[kind]
    return CODEC_BY_NAME[group].type_by_kind[kind]


def type_names() -> list[str]:
    names = [
        f"{group}.{kind}" for group, codec in CODEC_BY_NAME.items() for kind in codec.type_by_kind
    ]
    names += [f"stored.{name}" for name in TYPE_BY_NAME]
    return names + [f"json.{name}" for name in JSON_TYPE_BY_NAME]


@functools.cache
def encoded_sample(name: str) -> bytes:
    """Return the sample of a type with all its fields, encoded as a daemon sends or stores it."""
    message = sample_of(type_named(name))
    group = name.partition(".")[0]
    if group == "stored":
        return encode(message)
    if group == "json":
        return msgspec.json.encode(message)
    return CODEC_BY_NAME[group].encode(message)


def encoded_without_added(name: str, form: int = 1) -> bytes:
    """Return `encoded_sample` after the removal of the fields that a form lacks."""
    kind = inspect.type_info(type_named(name))
    group = name.partition(".")[0]
    data = encoded_sample(name)
    if group == "stored":
        return msgspec.msgpack.encode(without_added(kind, msgspec.msgpack.decode(data), form))
    if group == "json":
        return msgspec.json.encode(without_added(kind, msgspec.json.decode(data), form))
    class_name, plain = msgspec.msgpack.decode(data)
    return msgspec.msgpack.encode((class_name, without_added(kind, plain, form)))


def decoded(name: str, data: bytes) -> Any:
    group = name.partition(".")[0]
    if group == "stored":
        return decode(data, type_named(name))
    if group == "json":
        return msgspec.json.decode(data, type=type_named(name))
    return CODEC_BY_NAME[group].decode(data)


def is_extended(name: str, form: int = 1) -> bool:
    """Whether the newest form of a type has fields that an earlier form lacks."""
    return plain_of(type_named(name)) != plain_of(type_named(name), form)


@functools.cache
def of_earlier_release() -> dict[str, bytes]:
    if not ENCODED.exists():
        return {}
    data_by_name = json.loads(ENCODED.read_text(encoding="utf-8"))
    return {name: bytes.fromhex(data) for name, data in data_by_name.items()}


FIRST_FORMS = sorted(name for name in of_earlier_release() if FORM_MARK not in name)
EXTENDED_FORMS = sorted(name for name in of_earlier_release() if FORM_MARK in name)


@pytest.mark.parametrize("name", FIRST_FORMS)
def test_bytes_are_those_of_the_earlier_release(name: str) -> None:
    assert encoded_without_added(name) == of_earlier_release()[name]
    assert is_extended(name) or encoded_sample(name) == of_earlier_release()[name]


@pytest.mark.parametrize("name", FIRST_FORMS)
def test_bytes_of_the_earlier_release_are_decoded(name: str) -> None:
    expected = sample_of(type_named(name), form=1)

    assert decoded(name, of_earlier_release()[name]) == expected


@pytest.mark.parametrize("name", EXTENDED_FORMS)
def test_bytes_of_an_extended_type_stay_the_same(name: str) -> None:
    type_name, _, form = name.partition(FORM_MARK)
    data = of_earlier_release()[name]

    assert encoded_without_added(type_name, int(form)) == data
    assert decoded(type_name, data) == sample_of(type_named(type_name), int(form))
    assert int(form) < NEWEST_FORM or encoded_sample(type_name) == data


def _class_kinds(kind: Any) -> list[Any]:
    found = [kind] if isinstance(kind, inspect.DataclassType | inspect.StructType) else []
    fields = [field.type for field in found[0].fields] if found else []
    inner = [
        *fields,
        *getattr(kind, "types", ()),
        *getattr(kind, "item_types", ()),
        *(getattr(kind, name) for name in ("item_type", "value_type") if hasattr(kind, name)),
    ]
    for part in inner:
        found += _class_kinds(part)
    return found


def test_added_fields_have_the_stated_defaults() -> None:
    seen = set()
    for name in type_names():
        for kind in _class_kinds(inspect.type_info(type_named(name))):
            added = added_fields(kind)
            for field in kind.fields:
                if field.name not in added:
                    continue
                default = field.default
                if field.default_factory is not inspect.NODEFAULT:
                    default = field.default_factory()
                assert default == added[field.name], (kind.cls, field.name)
                seen.add((kind.cls.__name__, field.name))

    assert seen == {(name, field) for name, fields in ADDED_FIELDS.items() for field in fields}


def test_every_type_has_a_sample_of_an_earlier_release() -> None:
    assert set(type_names()) == set(FIRST_FORMS)
    extended = {name.partition(FORM_MARK)[0] for name in EXTENDED_FORMS}
    assert extended == {name for name in type_names() if is_extended(name)}
    for form in range(3, NEWEST_FORM + 1):
        later = {
            name.partition(FORM_MARK)[0] for name in EXTENDED_FORMS if name.endswith(str(form))
        }
        assert later == {name for name in type_names() if is_extended(name, form - 1)}


if __name__ == "__main__":
    added = {}
    for type_name in type_names():
        added[type_name] = encoded_without_added(type_name)
        for form in range(2, NEWEST_FORM + 1):
            if is_extended(type_name, form - 1):
                added[f"{type_name}{FORM_MARK}{form}"] = encoded_without_added(type_name, form)
    added.update(of_earlier_release())
    lines = {name: added[name].hex() for name in sorted(added)}
    ENCODED.write_text(json.dumps(lines, indent=1) + "\n", encoding="utf-8")
