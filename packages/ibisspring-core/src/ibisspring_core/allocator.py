"""Makes the C library return the memory of large buffers to the system when they are freed."""

from __future__ import annotations

import ctypes
import os

# Size in bytes from which a buffer is mapped by itself, and unmapped when it is freed.
MAP_FROM_BYTES = 128 * 1024
# Free bytes at the end of the heap that are kept.
KEEP_BYTES = 2 * 1024 * 1024
# Parameters of mallopt, from malloc.h.
M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3


def return_large_buffers() -> None:
    """
    Set the thresholds of the allocator; no-op with a C library other than glibc.

    By default glibc raises them to the size of the largest buffer that was freed, up to 32 MiB.
    Later buffers of that size come from the heap, whose freed parts remain with the process when
    anything behind them is in use: one large request would take its memory for good.
    """
    if "glibc" not in (os.confstr("CS_GNU_LIBC_VERSION") or ""):
        return
    libc = ctypes.CDLL(None)
    libc.mallopt(M_MMAP_THRESHOLD, MAP_FROM_BYTES)
    libc.mallopt(M_TRIM_THRESHOLD, KEEP_BYTES)


__all__ = ["return_large_buffers"]
