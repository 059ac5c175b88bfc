"""The in-memory log of one replica, without the entries that log compaction removed."""

from __future__ import annotations

from ibisspring_consensus.messages import MEMBERS, Entry, Members, SnapshotMeta
from ibisspring_core.messages.codec import decode
from ibisspring_core.portions import count_within


class Log:
    """
    Log entries after `base_index`, and the members that their `members` entries put in force.

    `base_index` is the index just before the first held entry. `snapshot.index` may be greater:
    some entries before the snapshot are kept for followers that are only slightly behind.
    """

    def __init__(self, snapshot: SnapshotMeta, base_index: int, base_term: int) -> None:
        self.snapshot = snapshot
        self.base_index = base_index
        self.base_term = base_term
        self._entries: list[Entry] = []
        self._members: list[tuple[int, Members]] = []

    @classmethod
    def from_entries(
        cls, snapshot: SnapshotMeta, base_index: int, base_term: int, entries: tuple[Entry, ...]
    ) -> Log:
        """
        Build a log from the state on disk.

        :param snapshot: metadata of the newest snapshot.
        :param base_index: log index just before the first entry.
        :param base_term: term of the entry at `base_index`.
        :param entries: all entries after `base_index`, without gaps.
        """
        log = cls(snapshot, base_index, base_term)
        log.append(entries)
        return log

    @property
    def last_index(self) -> int:
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def members(self) -> Members:
        """Members of the newest `members` entry, which are in force even if it is uncommitted."""
        return self._members[-1][1] if self._members else self.snapshot.members

    @property
    def members_index(self) -> int:
        return self._members[-1][0] if self._members else self.snapshot.index

    def members_at(self, index: int) -> Members:
        """
        Return the members that were in force at a log index.

        :param index: a log index that is not before the snapshot's.
        """
        members = self.snapshot.members
        for changed_at, changed in self._members:
            if changed_at > index:
                break
            members = changed
        return members

    def term_at(self, index: int) -> int | None:
        """
        Return the term of an entry.

        :param index: log index of the entry.
        :return: term of the entry; None if the log does not hold the entry.
        """
        if index == self.base_index:
            return self.base_term
        if index < self.base_index or index > self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def slice(self, first: int, last: int, max_bytes: int | None = None) -> tuple[Entry, ...]:
        """
        Return consecutive entries of the log.

        :param first: log index of the first entry, greater than `base_index`.
        :param last: log index of the last entry, included.
        :param max_bytes: limit for the total size of the entries' data; the first entry is returned
            even if it exceeds the limit. None means no limit.
        :return: the entries up to `last`, or fewer because of `max_bytes`.
        """
        start = first - self.base_index - 1
        entries = self._entries[start : last - self.base_index]
        if max_bytes is None:
            return tuple(entries)
        count = count_within((len(entry.data) for entry in entries), max_bytes)
        return tuple(entries[:count])

    def append(self, entries: tuple[Entry, ...]) -> None:
        """
        Append entries; the members of a `members` entry are in force at once.

        :param entries: entries that follow `last_index`, without gaps.
        """
        for entry in entries:
            self._entries.append(entry)
            # The snapshot already contains the members of entries up to its index.
            if entry.kind == MEMBERS and entry.index > self.snapshot.index:
                self._members.append((entry.index, decode(entry.data, Members)))

    def truncate(self, first: int) -> None:
        """
        Remove entries from the end of the log, and revert the members that they put in force.

        :param first: log index of the first entry to remove.
        """
        del self._entries[first - self.base_index - 1 :]
        while self._members and self._members[-1][0] >= first:
            self._members.pop()

    def compact(self, snapshot: SnapshotMeta, keep_from: int) -> None:
        """
        Record a snapshot taken by this replica and remove entries that the snapshot covers.

        :param snapshot: metadata of a snapshot at an index that the log holds.
        :param keep_from: log index of the first entry to keep.
        """
        base = max(min(keep_from - 1, snapshot.index), self.base_index)
        base_term = self.term_at(base)
        entries = tuple(self._entries[base - self.base_index :])
        self.snapshot = snapshot
        self._reset(base, base_term or 0, entries)

    def install(self, snapshot: SnapshotMeta) -> None:
        """
        Record a snapshot received from the leader.

        Entries after the snapshot are kept only if the log's entry at the snapshot's index has the
        snapshot's term.

        :param snapshot: metadata of a snapshot with an index after the commit index.
        """
        matches = self.term_at(snapshot.index) == snapshot.term
        entries = self.slice(snapshot.index + 1, self.last_index) if matches else ()
        self.snapshot = snapshot
        self._reset(snapshot.index, snapshot.term, entries)

    def _reset(self, base_index: int, base_term: int, entries: tuple[Entry, ...]) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self._entries = []
        self._members = []
        self.append(entries)


__all__ = ["Log"]
