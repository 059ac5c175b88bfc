"""
A model of power loss: records file system calls and generates the disk states that may survive.

After a power loss a file holds the content of its last sync; each write after that sync is present,
missing or torn (written in part). The name of a new file is durable once the file is synced. A
rename or removal of a file is durable once its folder is synced; before that sync each change of a
name is kept or lost independently.
"""

from __future__ import annotations

import itertools
import os
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

# Parts of a torn write that may be on disk, as shares of its bytes.
TORN_SHARES = (0.0, 0.5, 1.0)
# Number of pending name changes up to which each combination of kept and lost changes is generated.
# With more pending changes, only states in which one change is lost are generated.
MOST_PENDING = 6


@dataclass(frozen=True)
class Step:
    """
    One recorded file system call.

    :param kind: `write`, `truncate`, `sync`, `create`, `rename`, `unlink`, `sync_folder`, or
        `acknowledge`, which records no call but the state that was acknowledged to others at this
        point.
    :param file: number that the recorder assigned to the file.
    :param name: name of the file; for `rename` its old name.
    :param to: for `rename` the new name of the file.
    :param data: for `write` the written bytes.
    :param size: for `truncate` the size of the file after the call.
    :param acknowledged: for `acknowledge` the acknowledged state, in a form that the test chooses.
    """

    kind: str
    file: int = 0
    name: str = ""
    to: str = ""
    data: bytes = b""
    size: int = 0
    acknowledged: object = None


@dataclass
class Recorder:
    """
    Records the file system calls of the code under test.

    :param folder: calls on files in this folder are recorded.
    :param skip_sync: returns whether syncs of the file with the given name are not recorded, as if
        the code lacked these syncs; the name `sync_folder` stands for the folder itself.
    :param steps: the recorded calls, in order.
    """

    folder: Path
    skip_sync: Callable[[str], bool] = lambda name: False
    steps: list[Step] = field(default_factory=list)
    _file_by_inode: dict[int, int] = field(default_factory=dict)
    _numbers: Iterator[int] = field(default_factory=lambda: itertools.count(1))

    def acknowledge(self, acknowledged: object) -> None:
        """Record the state that is acknowledged to others at this point."""
        self.steps.append(Step("acknowledge", acknowledged=acknowledged))

    def patch(self, monkeypatch) -> None:
        """Replace the functions that change files by functions that also record the call."""
        original = {
            name: getattr(os, name) for name in ("write", "fsync", "fdatasync", "ftruncate")
        }
        rename, unlink = Path.replace, Path.unlink

        def write(descriptor: int, data: bytes) -> int:
            known = self._is_recorded(descriptor)
            written = original["write"](descriptor, data)
            if known:
                self._add("write", descriptor, data=bytes(data[:written]))
            return written

        def sync(descriptor: int) -> None:
            path = Path(os.readlink(f"/proc/self/fd/{descriptor}"))
            if path == self.folder:
                if not self.skip_sync("sync_folder"):
                    self.steps.append(Step("sync_folder"))
            elif self._is_recorded(descriptor) and not self.skip_sync(path.name):
                self._add("sync", descriptor)

        def truncate(descriptor: int, size: int) -> None:
            original["ftruncate"](descriptor, size)
            if self._is_recorded(descriptor):
                self._add("truncate", descriptor, size=size)

        def replace(path: Path, target: Path) -> Path:
            # The operating system may assign the inode of a removed file to the next new file.
            if target.exists():
                self._file_by_inode.pop(target.stat().st_ino, None)
            result = rename(path, target)
            self.steps.append(Step("rename", name=path.name, to=Path(target).name))
            return result

        def remove(path: Path, missing_ok: bool = False) -> None:
            self._file_by_inode.pop(path.stat().st_ino, None)
            unlink(path, missing_ok)
            self.steps.append(Step("unlink", name=path.name))

        monkeypatch.setattr(os, "write", write)
        monkeypatch.setattr(os, "fsync", sync)
        monkeypatch.setattr(os, "fdatasync", sync)
        monkeypatch.setattr(os, "ftruncate", truncate)
        monkeypatch.setattr(Path, "replace", replace)
        monkeypatch.setattr(Path, "unlink", remove)

    def _is_recorded(self, descriptor: int) -> bool:
        path = Path(os.readlink(f"/proc/self/fd/{descriptor}"))
        if path.parent != self.folder:
            return False
        inode = os.fstat(descriptor).st_ino
        if inode not in self._file_by_inode:
            self._file_by_inode[inode] = next(self._numbers)
            self.steps.append(Step("create", self._file_by_inode[inode], path.name))
        return True

    def _add(self, kind: str, descriptor: int, **fields) -> None:
        file = self._file_by_inode[os.fstat(descriptor).st_ino]
        self.steps.append(Step(kind, file, **fields))


@dataclass
class _Disk:
    """The durable content of a disk, and the changes that are not synced yet (pending)."""

    synced: dict[int, bytes] = field(default_factory=dict)
    pending: dict[int, list[Step]] = field(default_factory=dict)
    names: dict[str, int] = field(default_factory=dict)
    changes: list[Step] = field(default_factory=list)

    def apply(self, step: Step) -> None:
        if step.kind in ("write", "truncate"):
            self.pending.setdefault(step.file, []).append(step)
        elif step.kind == "sync":
            self.synced[step.file] = self.content(step.file, self.pending.pop(step.file, []))
            # The sync of a new file also makes its name durable.
            for change in [one for one in self.changes if one.kind == "create"]:
                if change.file == step.file:
                    self.changes.remove(change)
                    self.names[change.name] = change.file
        elif step.kind == "sync_folder":
            self.names = apply_name_changes(self.names, self.changes)
            self.changes = []
        elif step.kind in ("create", "rename", "unlink"):
            self.changes.append(step)

    def content(self, file: int, steps: list[Step]) -> bytes:
        data = self.synced.get(file, b"")
        for step in steps:
            data = data + step.data if step.kind == "write" else data[: step.size]
        return data

    def contents(self, file: int) -> set[bytes]:
        """
        Return all contents that a file may have after a power loss.

        Each consists of the synced content and some of the file's first pending writes; the write
        after them may be torn.
        """
        steps = self.pending.get(file, [])
        found = {self.content(file, [])}
        for count in range(len(steps)):
            before = self.content(file, steps[:count])
            for share in TORN_SHARES:
                part = steps[count].data[: int(len(steps[count].data) * share)]
                found.add(before + part)
            found.add(self.content(file, steps[: count + 1]))
        return found


def apply_name_changes(names: dict[str, int], changes: list[Step]) -> dict[str, int]:
    """Return the file by name after name changes; a rename of a missing name is ignored."""
    result = dict(names)
    for change in changes:
        if change.kind == "create":
            result[change.name] = change.file
        elif change.kind == "unlink":
            result.pop(change.name, None)
        elif change.name in result:
            result[change.to] = result.pop(change.name)
    return result


def survivors(steps: list[Step]) -> Iterator[tuple[object, dict[str, bytes]]]:
    """
    Generate all disk states that may survive a power loss after any recorded step.

    :return: pairs of the state that was acknowledged before the power loss, and the content of the
        surviving files by file name.
    """
    disk = _Disk()
    acknowledged: object = None
    for step in steps:
        if step.kind == "acknowledge":
            acknowledged = step.acknowledged
            continue
        disk.apply(step)
        for names in _name_states(disk):
            files = sorted(set(names.values()))
            choices = [sorted(disk.contents(file)) for file in files]
            for chosen in itertools.product(*choices):
                content_by_file = dict(zip(files, chosen, strict=True))
                yield acknowledged, {name: content_by_file[file] for name, file in names.items()}


def _name_states(disk: _Disk) -> list[dict[str, int]]:
    changes = disk.changes
    if len(changes) <= MOST_PENDING:
        masks = itertools.product((False, True), repeat=len(changes))
    else:
        masks = ([one != lost for one in range(len(changes))] for lost in range(len(changes)))
    states = []
    for mask in masks:
        kept = [change for change, keep in zip(changes, mask, strict=True) if keep]
        state = apply_name_changes(disk.names, kept)
        if state not in states:
            states.append(state)
    return states


__all__ = ["Recorder", "survivors"]
