"""Loads a settings file into data classes and collects findings with line and column."""

from __future__ import annotations

import dataclasses
import types
import typing
from pathlib import Path
from typing import Any

import yaml

from ibisspring_core.errors import Finding
from ibisspring_core.settings.model import ROLES, Settings

_MISSING = object()
_SCALAR_NAMES = {str: "text", int: "a whole number", float: "a number", bool: "true or false"}


def load_settings(path: str) -> Settings | tuple[Finding, ...]:
    """
    Load a daemon's settings from its YAML file and check them.

    :param path: path of the YAML file.
    :return: the settings, or all findings in order of line and column.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        return (Finding(path, 0, 0, f"cannot be read: {error.strerror}"),)
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark
        return (Finding(path, mark.line + 1, mark.column + 1, f"not YAML: {error.problem}"),)
    if node is None:
        return (Finding(path, 1, 1, "the file is empty; see docs/reference/settings.md"),)
    reader = _Reader(path)
    settings = reader.read(node, Settings, "")
    if not reader.findings:
        reader.check_consistency(settings, node)
    if reader.findings:
        return tuple(sorted(reader.findings, key=lambda finding: (finding.line, finding.column)))
    return settings


class _Reader:
    """Converts YAML nodes to the data classes of the settings and collects findings."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.findings: list[Finding] = []

    def report(self, node: yaml.Node, message: str) -> Any:
        mark = node.start_mark
        self.findings.append(Finding(self.path, mark.line + 1, mark.column + 1, message))
        return _MISSING

    def read(self, node: yaml.Node, hint: Any, where: str) -> Any:
        if isinstance(hint, types.UnionType):
            hint = next(part for part in typing.get_args(hint) if part is not type(None))
        if dataclasses.is_dataclass(hint):
            return self._read_data_class(node, hint, where)
        origin = typing.get_origin(hint)
        if origin is tuple:
            return self._read_tuple(node, typing.get_args(hint)[0], where)
        if origin is dict:
            return self._read_dict(node, typing.get_args(hint)[1], where)
        return self._read_scalar(node, hint, where)

    def _read_data_class(self, node: yaml.Node, hint: Any, where: str) -> Any:
        if not isinstance(node, yaml.MappingNode):
            return self.report(node, f"{where or 'the file'} must be a mapping of settings")
        hint_by_name = typing.get_type_hints(hint)
        value_by_name: dict[str, Any] = {}
        for key_node, value_node in node.value:
            name = key_node.value
            full_name = f"{where}.{name}" if where else name
            if name not in hint_by_name:
                known = ", ".join(sorted(hint_by_name))
                self.report(key_node, f"unknown setting {full_name!r}; known here: {known}")
                continue
            if name in value_by_name:
                self.report(key_node, f"{full_name!r} is set twice")
                continue
            value_by_name[name] = self.read(value_node, hint_by_name[name], full_name)
        for item in dataclasses.fields(hint):
            has_default = (
                item.default is not dataclasses.MISSING
                or item.default_factory is not dataclasses.MISSING
            )
            if item.name in value_by_name or has_default:
                continue
            self.report(node, f"setting {item.name!r} is missing in {where or 'the file'}")
            value_by_name[item.name] = _MISSING
        return hint(**value_by_name)

    def _read_tuple(self, node: yaml.Node, hint: Any, where: str) -> Any:
        if not isinstance(node, yaml.SequenceNode):
            return self.report(node, f"{where} must be a list")
        return tuple(self.read(item, hint, where) for item in node.value)

    def _read_dict(self, node: yaml.Node, hint: Any, where: str) -> Any:
        if not isinstance(node, yaml.MappingNode):
            return self.report(node, f"{where} must be a mapping")
        return {
            key.value: self.read(value, hint, f"{where}.{key.value}") for key, value in node.value
        }

    def _read_scalar(self, node: yaml.Node, hint: Any, where: str) -> Any:
        if not isinstance(node, yaml.ScalarNode):
            return self.report(node, f"{where} must be {_SCALAR_NAMES[hint]}")
        value = yaml.safe_load(node.value) if node.style is None else node.value
        if hint is str:
            return node.value
        if hint is float and type(value) is int:
            value = float(value)
        if type(value) is not hint:
            return self.report(node, f"{where} must be {_SCALAR_NAMES[hint]}, not {node.value!r}")
        if hint in (int, float) and value < 0:
            return self.report(node, f"{where} must not be negative")
        return value

    def check_consistency(self, settings: Settings, node: yaml.Node) -> None:
        """Report settings that contradict each other and those that a role lacks."""
        for role in settings.roles:
            if role not in ROLES:
                self.report(node, f"unknown role {role!r}; roles are {', '.join(ROLES)}")
                continue
            if getattr(settings, role) is None:
                self.report(node, f"role {role!r} needs a section {role!r}")
        if not settings.roles:
            self.report(node, "roles must name at least one role")
        if "control" in settings.roles and not settings.data_folder:
            self.report(node, "role 'control' needs data_folder")
        if not settings.control_addresses:
            self.report(node, "control_addresses must name at least one control daemon")
        if settings.control is not None:
            self._check_control(settings, node)

    def _check_control(self, settings: Settings, node: yaml.Node) -> None:
        control = settings.control
        if settings.daemon not in settings.control_addresses:
            self.report(node, f"control_addresses does not name this daemon {settings.daemon!r}")
        # With a lease as long as the election timeout, a new leader could be elected before the
        # lease of the earlier leader lapses, and both would send orders.
        if control.leader_lease_s >= control.election_timeout_s:
            self.report(node, "control.leader_lease_s must be under control.election_timeout_s")
        if control.heartbeat_s * 2 > control.leader_lease_s:
            self.report(node, "control.leader_lease_s must be at least twice control.heartbeat_s")
        if control.election_timeout_s * 2 > control.entry_lease_s:
            self.report(node, "control.entry_lease_s must be at least twice election_timeout_s")


__all__ = ["load_settings"]
