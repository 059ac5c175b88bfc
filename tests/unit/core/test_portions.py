from __future__ import annotations

import pytest

from ibisspring_core.portions import count_within


@pytest.mark.parametrize(
    ("sizes", "count"),
    [([], 0), ([10], 1), ([11], 1), ([11, 0], 1), ([4, 6, 1], 2), ([4, 7], 1), ([0, 11], 1)],
)
def test_a_portion_keeps_its_limit_and_is_never_empty(sizes, count) -> None:
    assert count_within(sizes, 10) == count
