"""The record of a run: what was sent, answered and run, in the order of time."""

from __future__ import annotations

import time
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path


@dataclass
class Record:
    """
    Writes each event to a file, and keeps what the checks need.

    :param runs: by attempt id, the endpoints that ran it, in order.
    """

    path: Path
    runs: dict[str, list[str]] = field(default_factory=lambda: defaultdict(list))

    def __post_init__(self) -> None:
        self._started = time.monotonic()
        self._file = self.path.open("w", encoding="utf-8")

    def note(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        self._file.write(f"{time.monotonic() - self._started:8.3f} {text}\n")
        self._file.flush()

    def sent(self, method: str, path: str, attempt: str, to: str) -> None:
        """Record that a client sent a request."""
        self.note(f"sent {attempt} {method} {path} to {to}")

    def answered(self, attempt: str, what: str) -> None:
        """Record what a client received."""
        self.note(f"answered {attempt} {what}")

    def ran(
        self, endpoint: str, method: str, path: str, attempt: str, headers: dict[str, str]
    ) -> None:
        """Record that an endpoint began to work on a request."""
        self.runs[attempt].append(endpoint)
        resumed = headers.get("last-event-id")
        after = f" after event {resumed}" if resumed else ""
        self.note(f"ran {attempt} {method} {path} at {endpoint}{after}")
