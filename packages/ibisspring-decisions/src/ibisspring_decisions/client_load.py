"""
What the clients of a daemon may use of its memory, its connections and its time.

Load pattern: clients that the operator does not control open many connections and use each to the
limit. They send large bodies, whole or without their end, read long answers slowly, or send
nothing. Each request is within the limits of a request; all together exceed the memory of the
process, which is then killed with the requests of all other clients.

All clients therefore share one budget. A request reserves what it needs when its size is known.
A request that does not fit is refused before its body is read, unless clients that are slower than
a usable link hold the memory: those are disconnected, the slowest first. A part of the budget is
reserved for small requests and answers, so that large ones never delay them. A request that is
alone is always admitted, since the budget must not refuse a legal request of an idle daemon.

A client that stays silent, or sends so little that its request would not end, is disconnected
without such a shortage too, after the idle time that the operator grants.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Hashable

# Memory of a daemon without clients, in megabytes.
BASE_MEMORY_MB = 56.0
# Part of the memory beyond that which bodies and answers of clients may take. The answers that are
# read from endpoints, and the work of the daemon itself, take the rest.
BUDGET_SHARE = 0.45
# Part of the memory beyond the base for the connections themselves, and what one of them takes with
# its buffers in the process.
CONNECTIONS_SHARE = 0.15
CONNECTION_BYTES = 24 * 1024
# Part of the descriptors that clients may take. The daemon needs the others to reach endpoints and
# other daemons.
DESCRIPTORS_SHARE = 0.6
# Descriptors that are kept for files.
RESERVED_DESCRIPTORS = 200
# Least capacity, in bytes and connections: a process whose memory does not exceed the base must
# answer small requests.
MIN_BUDGET_BYTES = 2 * 1024 * 1024
MIN_CONNECTIONS = 16.0
# Budget in bytes of a process of unknown size.
DEFAULT_BUDGET_BYTES = 128 * 1024 * 1024
# Largest reservation in bytes that counts as small, and the part of the budget for small ones only.
SMALL_BYTES = 64 * 1024
SMALL_SHARE = 0.25
# Seconds over which the speed of a client is measured.
WINDOW_S = 1.0
# Bytes per second below which a client is disconnected if others need its memory; a usable link is
# many times faster.
SLOW_BYTES_PER_S = 64 * 1024
# Bytes per second that a client must reach in one window of each idle time while it sends a body,
# so that a byte from time to time does not keep a request open.
MIN_BYTES_PER_S = 1024
MB = 1024 * 1024


class Phase(enum.Enum):
    """
    What a client's connection is doing.

    IDLE: no byte of the next request has arrived. HEAD and BODY: the request is being received.
    RUNNING: it is complete and is being answered. ANSWER: a part of the answer waits until the
    client reads it. REST: the answer was sent before the body was complete, and the rest of the
    body is discarded.
    """

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    RUNNING = "running"
    ANSWER = "answer"
    REST = "rest"


class Excess(enum.Enum):
    """Why a client is disconnected."""

    IDLE = "idle"
    SLOW_HEAD = "slow_head"
    SLOW_BODY = "slow_body"
    SLOW_READER = "slow_reader"
    SHORT_OF_MEMORY = "short_of_memory"
    CONNECTIONS = "connections"


# Phases in which the client's speed decides, and those whose clients use no memory of a request.
MOVING_PHASES = frozenset({Phase.BODY, Phase.ANSWER, Phase.REST})
WAITING_PHASES = frozenset({Phase.IDLE, Phase.HEAD})


@dataclass(frozen=True)
class ClientLimits:
    """
    Limits for one request or connection, as the operator sets them.

    :param max_header_bytes: maximum size of a request's line and headers.
    :param max_body_bytes: maximum size of a request's body.
    :param header_s: seconds from the first byte of a request to the end of its headers.
    :param idle_s: seconds for which a client may send nothing.
    :param unread_s: seconds for which a client may read nothing of its answer.
    """

    max_header_bytes: int = 64 * 1024
    max_body_bytes: int = 32 * MB
    header_s: float = 6.0
    idle_s: float = 40.0
    unread_s: float = 30.0


@dataclass(frozen=True)
class ClientCapacity:
    """
    What all clients of a daemon may use together.

    :param budget_bytes: memory for bodies and answers.
    :param connections: number of connections.
    """

    budget_bytes: int = DEFAULT_BUDGET_BYTES
    connections: float = float("inf")

    @classmethod
    def from_size(cls, memory_mb: float, descriptors: int) -> ClientCapacity:
        """
        Derive the capacity from the limits of a process.

        :param memory_mb: memory of the process in megabytes; 0 if unknown.
        :param descriptors: number of its file descriptors; 0 if unknown.
        """
        connections = float("inf")
        budget_bytes = DEFAULT_BUDGET_BYTES
        if memory_mb:
            free_bytes = max(0.0, memory_mb - BASE_MEMORY_MB) * MB
            budget_bytes = max(MIN_BUDGET_BYTES, int(BUDGET_SHARE * free_bytes))
            connections = CONNECTIONS_SHARE * free_bytes // CONNECTION_BYTES
        if descriptors:
            usable = max(0, descriptors - RESERVED_DESCRIPTORS)
            connections = min(connections, DESCRIPTORS_SHARE * usable // 1)
        return cls(budget_bytes, max(MIN_CONNECTIONS, connections))


@dataclass(frozen=True)
class Verdict:
    """
    The decision about a reservation or a new connection.

    :param granted: whether it is granted, once the clients in `ended` are disconnected.
    :param ended: clients to disconnect, with the reason.
    """

    granted: bool
    ended: tuple[tuple[Hashable, Excess], ...] = ()


@dataclass
class _Client:
    phase: Phase = Phase.IDLE
    since: float = 0.0
    reserved_bytes: int = 0
    window_at: float = 0.0
    window_bytes: int = 0
    # Bytes per second of the last complete window; infinite before there is one.
    last_speed: float = float("inf")
    fast_at: float = 0.0

    def enter(self, phase: Phase, now: float) -> None:
        self.phase = phase
        self.since = self.window_at = self.fast_at = now
        self.window_bytes = 0
        self.last_speed = float("inf")

    def move(self, count: int, now: float) -> None:
        """Count bytes in the present window, and complete the windows that have ended."""
        windows = (now - self.window_at) // WINDOW_S
        if windows >= 1:
            speed = self.window_bytes / WINDOW_S
            if speed >= MIN_BYTES_PER_S:
                self.fast_at = self.window_at + WINDOW_S
            # Nothing moved in the windows after the first one.
            self.last_speed = speed if windows == 1 else 0.0
            self.window_at += windows * WINDOW_S
            self.window_bytes = 0
        self.window_bytes += count


class ClientLoad:
    """
    The clients of a daemon, by a key of their connection.

    The clients that a decision names are no longer counted. The caller disconnects them; what it
    reports of them afterwards has no effect.

    :param capacity: what all clients may use together.
    """

    def __init__(self, capacity: ClientCapacity) -> None:
        self.capacity = capacity
        self.reserved_bytes = 0
        self._large_bytes = 0
        self._client_by_key: dict[Hashable, _Client] = {}

    def __len__(self) -> int:
        return len(self._client_by_key)

    def open(self, key: Hashable, now: float) -> Verdict:
        """
        Add a new connection.

        At the limit, the connection that has waited longest without a complete request is closed.
        A connection whose request runs is not closed for a new one.

        :param now: seconds on a steady clock.
        :return: whether the connection may stay.
        """
        waiting = None
        if len(self) >= self.capacity.connections:
            waiting = [one for one in self._client_by_key.items() if one[1].phase in WAITING_PHASES]
        if waiting is not None and not waiting:
            return Verdict(False)
        client = _Client()
        client.enter(Phase.IDLE, now)
        self._client_by_key[key] = client
        if waiting is None:
            return Verdict(True)
        oldest, _ = min(waiting, key=lambda one: one[1].since)
        self.close(oldest)
        return Verdict(True, ((oldest, Excess.CONNECTIONS),))

    def close(self, key: Hashable) -> None:
        """Remove a connection with its reservation."""
        client = self._client_by_key.pop(key, None)
        if client is not None:
            self._set_reserved(client, 0)

    def enter(self, key: Hashable, phase: Phase, now: float) -> None:
        """Record that a connection enters a phase."""
        client = self._client_by_key.get(key)
        if client is not None:
            client.enter(phase, now)

    def move(self, key: Hashable, count: int, now: float) -> None:
        """Record that a client sent or took a number of bytes of a body or an answer."""
        client = self._client_by_key.get(key)
        if client is not None:
            client.move(count, now)

    def reserve(self, key: Hashable, total_bytes: int, now: float) -> Verdict:
        """
        Change the reservation of a client.

        :param total_bytes: what the client then holds.
        :return: whether it is granted. A reservation that is not granted is not changed.
        """
        client = self._client_by_key.get(key)
        if client is None:
            return Verdict(False)
        is_large = total_bytes > SMALL_BYTES
        large_limit = self.capacity.budget_bytes * (1 - SMALL_SHARE)
        # One large request that is alone may exceed the budget; small ones keep their part of it.
        limit = large_limit if is_large else self.capacity.budget_bytes
        used = self._large_bytes
        if not is_large:
            used = self.reserved_bytes - self._large_bytes + min(self._large_bytes, large_limit)
        own = client.reserved_bytes
        if is_large and own <= SMALL_BYTES:
            own = 0
        missing = used - own + total_bytes - limit
        if missing <= 0:
            self._set_reserved(client, total_bytes)
            return Verdict(True)
        ended = self._slow_clients(client, missing, is_large, now)
        freed = sum(self._client_by_key[other].reserved_bytes for other in ended)
        is_alone = is_large and used - own - freed <= 0
        if freed < missing and not is_alone:
            return Verdict(False)
        for other in ended:
            self.close(other)
        self._set_reserved(client, total_bytes)
        return Verdict(True, tuple((other, Excess.SHORT_OF_MEMORY) for other in ended))

    def _slow_clients(
        self, client: _Client, missing: float, is_large: bool, now: float
    ) -> list[Hashable]:
        """Return the slowest clients that together hold the missing bytes, or all slow ones."""
        # An answer exists and cannot be refused, so any other reader of an answer gives way to it.
        is_answer = client.phase is Phase.ANSWER
        speed_by_key: dict[Hashable, float] = {}
        for key, other in self._client_by_key.items():
            if other is client or other.phase not in MOVING_PHASES or not other.reserved_bytes:
                continue
            if is_large and other.reserved_bytes <= SMALL_BYTES:
                continue
            other.move(0, now)
            speed = other.last_speed
            if speed < SLOW_BYTES_PER_S or (is_answer and other.phase is Phase.ANSWER):
                speed_by_key[key] = speed
        chosen: list[Hashable] = []
        for key in sorted(speed_by_key, key=lambda key: speed_by_key[key]):
            if missing <= 0:
                break
            missing -= self._client_by_key[key].reserved_bytes
            chosen.append(key)
        return chosen

    def overdue(self, limits: ClientLimits, now: float) -> list[tuple[Hashable, Excess]]:
        """Return the clients that exceed a time limit, with the reason."""
        found: list[tuple[Hashable, Excess]] = []
        for key, client in self._client_by_key.items():
            client.move(0, now)
            excess = _excess(client, limits, now)
            if excess is not None:
                found.append((key, excess))
        for key, _ in found:
            self.close(key)
        return found

    def _set_reserved(self, client: _Client, total_bytes: int) -> None:
        for count, sign in ((client.reserved_bytes, -1), (total_bytes, 1)):
            self.reserved_bytes += sign * count
            if count > SMALL_BYTES:
                self._large_bytes += sign * count
        client.reserved_bytes = total_bytes


def _excess(client: _Client, limits: ClientLimits, now: float) -> Excess | None:
    if client.phase is Phase.IDLE and now - client.since > limits.idle_s:
        return Excess.IDLE
    if client.phase is Phase.HEAD and now - client.since > limits.header_s:
        return Excess.SLOW_HEAD
    if client.phase in (Phase.BODY, Phase.REST) and now - client.fast_at > limits.idle_s:
        return Excess.SLOW_BODY
    if client.phase is Phase.ANSWER and now - client.fast_at > limits.unread_s:
        return Excess.SLOW_READER
    return None


__all__ = [
    "ClientCapacity",
    "ClientLimits",
    "ClientLoad",
    "Excess",
    "Phase",
    "Verdict",
]
