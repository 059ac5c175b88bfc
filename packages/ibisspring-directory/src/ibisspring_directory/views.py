"""The view that daemons hold, its revision, and the renewals that wait for the next one."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ibisspring_core.clock import boot_now

if TYPE_CHECKING:
    from collections.abc import Callable


class Revision:
    """A number that rises with each change of the view; renewals wait on it."""

    def __init__(self, first: int = 1) -> None:
        self.number = first
        self._changed = asyncio.Event()

    def rise(self) -> None:
        """Something in the view changed; all that wait look again."""
        self.number += 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait(self, hold_s: float, condition: Callable[[], bool]) -> bool:
        """
        Wait until a condition holds, looking after each change.

        :param hold_s: longest wait.
        :return: whether it holds.
        """
        end_s = boot_now() + hold_s
        while not condition():
            left_s = end_s - boot_now()
            if left_s <= 0:
                return False
            changed = self._changed
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                return condition()
        return True


__all__ = ["Revision"]
