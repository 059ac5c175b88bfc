"""
The revision number of a directory view, and the waits for its next increment.

A view is the part of the directory that the leader sends to a daemon. A daemon whose view is
current waits with its renewal until the revision rises.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ibisspring_core.clock import boot_now

if TYPE_CHECKING:
    from collections.abc import Callable


class Revision:
    """The revision number of a directory view, which rises with each change of the view."""

    def __init__(self, first: int = 1) -> None:
        self.number = first
        self._incremented = asyncio.Event()

    def increment(self) -> None:
        """Increment the revision, and let all calls of `wait` check their condition again."""
        self.number += 1
        self._incremented.set()
        self._incremented = asyncio.Event()

    async def wait(self, hold_s: float, condition: Callable[[], bool]) -> bool:
        """
        Wait until a condition holds; it is checked after each increment of the revision.

        :param hold_s: longest wait in seconds.
        :return: whether the condition holds at the end of the wait.
        """
        end_s = boot_now() + hold_s
        while not condition():
            left_s = end_s - boot_now()
            if left_s <= 0:
                return False
            incremented = self._incremented
            try:
                async with asyncio.timeout(left_s):
                    await incremented.wait()
            except TimeoutError:
                return condition()
        return True


__all__ = ["Revision"]
