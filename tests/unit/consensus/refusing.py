"""Calls of the storage that the system refuses for a while."""

from __future__ import annotations

import asyncio
import os


class Refusing:
    """Refuses calls with one error until `room` is set; `tried` tells of the first."""

    def __init__(self, monkeypatch, number: int, *calls: tuple[object, str]) -> None:
        """
        Take the place of the calls.

        :param number: of the error.
        :param calls: what holds each call, and its name there.
        """
        self.allowed = asyncio.Event()
        self.attempted = asyncio.Event()
        loop = asyncio.get_running_loop()

        def patch(place: object, name: str) -> None:
            plain = getattr(place, name)

            def refusing(*arguments, **options):
                if self.allowed.is_set():
                    return plain(*arguments, **options)
                loop.call_soon_threadsafe(self.attempted.set)
                raise OSError(number, os.strerror(number))

            monkeypatch.setattr(place, name, refusing)

        for place, name in calls:
            patch(place, name)


__all__ = ["Refusing"]
