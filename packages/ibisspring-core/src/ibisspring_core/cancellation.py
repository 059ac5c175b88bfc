"""Distinguishes the cancellation of a task from that of a gRPC call that the task awaits."""

from __future__ import annotations

import asyncio


def is_task_cancelled() -> bool:
    """
    Return whether the running task itself is being cancelled.

    gRPC also raises `asyncio.CancelledError` in a call whose channel was closed by another task. If
    the exception propagated, it would end a caller that was not cancelled.

    :return: False if only the awaited call was cancelled.
    """
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


__all__ = ["is_task_cancelled"]
