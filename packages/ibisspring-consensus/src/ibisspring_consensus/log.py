"""The log of one replica in memory, after its snapshot."""

from __future__ import annotations

from ibisspring_consensus.messages import MEMBERS, Entry, Members, SnapshotMeta
from ibisspring_core.messages.codec import decode


class Log:
    """
    Entries after a base index, with the members that each entry puts in force.

    `snapshot` may stand later than the base: a tail of entries is kept for followers that lag a
    little.
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
        Build a log from what a disk holds.

        :param entries: all entries after `base_index`, without gaps.
        :return: the log.
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
        """Members in force, also when their entry is not committed yet."""
        return self._members[-1][1] if self._members else self.snapshot.members

    @property
    def members_index(self) -> int:
        return self._members[-1][0] if self._members else self.snapshot.index

    def members_at(self, index: int) -> Members:
        """
        Find the members that were in force at an index.

        :param index: an index from the snapshot's on.
        :return: the members.
        """
        members = self.snapshot.members
        for at, changed in self._members:
            if at > index:
                break
            members = changed
        return members

    def term_at(self, index: int) -> int | None:
        """
        Find the term of an entry.

        :param index: position in the log.
        :return: its term; None where the log does not hold it.
        """
        if index == self.base_index:
            return self.base_term
        if index < self.base_index or index > self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def slice(self, first: int, last: int, max_bytes: int | None = None) -> tuple[Entry, ...]:
        """
        Copy entries.

        :param first: first index, after the base.
        :param last: last index.
        :param max_bytes: stop after this many bytes of data, but not before the first entry.
        :return: the entries.
        """
        start = first - self.base_index - 1
        entries = self._entries[start : last - self.base_index]
        if max_bytes is None:
            return tuple(entries)
        size = 0
        for count, entry in enumerate(entries):
            size += len(entry.data)
            if size > max_bytes and count:
                return tuple(entries[:count])
        return tuple(entries)

    def append(self, entries: tuple[Entry, ...]) -> None:
        """
        Append entries; a members entry is in force at once.

        :param entries: the next entries, without gaps.
        """
        for entry in entries:
            self._entries.append(entry)
            # Members up to the snapshot are in the snapshot already.
            if entry.kind == MEMBERS and entry.index > self.snapshot.index:
                self._members.append((entry.index, decode(entry.data, Members)))

    def truncate(self, first: int) -> None:
        """
        Drop entries; members that they put in force are undone.

        :param first: first index that goes.
        """
        del self._entries[first - self.base_index - 1 :]
        while self._members and self._members[-1][0] >= first:
            self._members.pop()

    def compact(self, snapshot: SnapshotMeta, keep_from: int) -> None:
        """
        Take over a snapshot and drop entries that it covers.

        :param snapshot: a snapshot at an index that the log holds.
        :param keep_from: first index that stays.
        """
        base = max(min(keep_from - 1, snapshot.index), self.base_index)
        base_term = self.term_at(base)
        entries = tuple(self._entries[base - self.base_index :])
        self.snapshot = snapshot
        self._restart(base, base_term or 0, entries)

    def install(self, snapshot: SnapshotMeta) -> None:
        """
        Take over a snapshot from the leader; entries after it stay where they agree with it.

        :param snapshot: a snapshot later than the commit index.
        """
        agrees = self.term_at(snapshot.index) == snapshot.term
        entries = self.slice(snapshot.index + 1, self.last_index) if agrees else ()
        self.snapshot = snapshot
        self._restart(snapshot.index, snapshot.term, entries)

    def _restart(self, base_index: int, base_term: int, entries: tuple[Entry, ...]) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self._entries = []
        self._members = []
        self.append(entries)


__all__ = ["Log"]
