"""Makes file system calls fail with an error until the test allows them."""

from __future__ import annotations

import asyncio
import os


class RefusedCalls:
    """
    Makes file system calls fail with one error until the event `allowed` is set.

    The first failing call sets the event `attempted`.
    """

    def __init__(self, monkeypatch, number: int, *calls: tuple[object, str]) -> None:
        """
        Replace functions by failing ones.

        :param number: errno of the `OSError` that the calls raise.
        :param calls: the functions to replace: pairs of a module or class and the name of its
            function.
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
