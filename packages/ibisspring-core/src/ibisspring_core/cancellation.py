"""Tells a task's own cancellation from that of something it waits for."""

from __future__ import annotations

import asyncio


def is_task_cancelled() -> bool:
    """
    Whether the running task itself is being cancelled.

    gRPC raises `asyncio.CancelledError` as well in a call whose channel was closed by another task.
    Let through, it would end a caller that nobody cancelled.

    :return: False where only what the task waits for was cancelled.
    """
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


__all__ = ["is_task_cancelled"]
