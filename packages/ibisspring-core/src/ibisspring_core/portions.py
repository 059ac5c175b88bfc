"""Divides sequences into portions of limited size."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


def count_within(sizes: Iterable[int], limit: int) -> int:
    """
    Count the first elements of a sequence that a portion takes.

    :param sizes: sizes of the elements, in order.
    :param limit: largest size of a portion. An element that alone exceeds it is a portion of its
        own.
    :return: number of elements; 0 only if there are none.
    """
    count = total = 0
    for size in sizes:
        total += size
        if count and total > limit:
            break
        count += 1
    return count


__all__ = ["count_within"]
