"""File system calls that fail with an error for a time."""

from __future__ import annotations

import asyncio
import os


class RefusedCalls:
    """
    Makes calls fail with one error until `allowed` is set; `attempted` is set by the first failure.
    """

    def __init__(self, monkeypatch, number: int, *calls: tuple[object, str]) -> None:
        """
        Replace the calls.

        :param number: errno of the error.
        :param calls: pairs of a module or class and the name of its function.
        """
        self.allowed = asyncio.Event()
        self.attempted = asyncio.Event()
        loop = asyncio.get_running_loop()

        def patch(owner: object, name: str) -> None:
            original = getattr(owner, name)

            def failing(*arguments, **options):
                if self.allowed.is_set():
                    return original(*arguments, **options)
                loop.call_soon_threadsafe(self.attempted.set)
                raise OSError(number, os.strerror(number))

            monkeypatch.setattr(owner, name, failing)

        for owner, name in calls:
            patch(owner, name)


__all__ = ["RefusedCalls"]
