"""
Bytes of messages, stored records and JSON documents stay the same from release to release.

Class names and field names are written into these bytes. If a class or field were renamed, a daemon
of the next release would reject the messages of its peers, or lose what its own disk holds. The
file `encoded_messages.json` contains one encoded sample of each type, written by an earlier
release; `python -m unit.encoded.test_encoded_messages` adds samples of the types that the file
lacks.
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
from ibisspring_jobs.state import StoredJob

sys.path.append(str(Path(__file__).resolve().parents[3] / "platform"))

from ibisspring_platform.announcements import Departure, Heartbeat  # noqa: E402
from ibisspring_platform.batch_jobs import WireJob, WireResults  # noqa: E402
from ibisspring_platform.configuration import Document  # noqa: E402
from ibisspring_platform.control_http import VersionPut  # noqa: E402
from ibisspring_platform.day_reports import DayReport  # noqa: E402
from ibisspring_platform.orders import Report  # noqa: E402
from ibisspring_platform.settings import BootFile  # noqa: E402

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


def sample(kind: inspect.Type, name: str) -> Any:
    """Return plain data that converts to a type; a field holds its own name or a fixed value."""
    if isinstance(kind, inspect.DataclassType | inspect.StructType):
        return {field.encode_name: sample(field.type, field.encode_name) for field in kind.fields}
    if isinstance(kind, inspect.UnionType):
        return sample(next(t for t in kind.types if not isinstance(t, inspect.NoneType)), name)
    if isinstance(kind, inspect.DictType):
        return {sample(kind.key_type, "key"): sample(kind.value_type, name)}
    collections = inspect.VarTupleType | inspect.ListType | inspect.SetType | inspect.FrozenSetType
    if isinstance(kind, collections):
        return [sample(kind.item_type, name)]
    if isinstance(kind, inspect.TupleType):
        return [sample(item, name) for item in kind.item_types]
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


def sample_of(message_type: Any) -> Any:
    plain = sample(inspect.type_info(message_type), "")
    return msgspec.msgpack.decode(msgspec.msgpack.encode(plain), type=message_type)


@functools.cache
def encoded_samples() -> dict[str, bytes]:
    data_by_name = {}
    for name, codec in CODEC_BY_NAME.items():
        for kind, message_type in codec.type_by_kind.items():
            data_by_name[f"{name}.{kind}"] = codec.encode(sample_of(message_type))
    for name, message_type in TYPE_BY_NAME.items():
        data_by_name[f"stored.{name}"] = encode(sample_of(message_type))
    for name, message_type in JSON_TYPE_BY_NAME.items():
        data_by_name[f"json.{name}"] = msgspec.json.encode(sample_of(message_type))
    return data_by_name


@functools.cache
def of_earlier_release() -> dict[str, bytes]:
    if not ENCODED.exists():
        return {}
    data_by_name = json.loads(ENCODED.read_text(encoding="utf-8"))
    return {name: bytes.fromhex(data) for name, data in data_by_name.items()}


@pytest.mark.parametrize("name", sorted(of_earlier_release()))
def test_bytes_are_those_of_the_earlier_release(name: str) -> None:
    assert encoded_samples()[name] == of_earlier_release()[name]


@pytest.mark.parametrize("name", sorted(of_earlier_release()))
def test_bytes_of_the_earlier_release_are_decoded(name: str) -> None:
    data = of_earlier_release()[name]
    group, _, kind = name.partition(".")

    if group == "stored":
        assert decode(data, TYPE_BY_NAME[kind]) == sample_of(TYPE_BY_NAME[kind])
        return
    if group == "json":
        json_type = JSON_TYPE_BY_NAME[kind]
        assert msgspec.json.decode(data, type=json_type) == sample_of(json_type)
        return
    codec = CODEC_BY_NAME[group]
    assert codec.decode(data) == sample_of(codec.type_by_kind[kind])


def test_every_type_has_a_sample_of_an_earlier_release() -> None:
    assert set(encoded_samples()) == set(of_earlier_release())


if __name__ == "__main__":
    added = {**encoded_samples(), **of_earlier_release()}
    lines = {name: added[name].hex() for name in sorted(added)}
    ENCODED.write_text(json.dumps(lines, indent=1) + "\n", encoding="utf-8")
