"""
Checks that docs/PROOFS.md has a row for every promise of the project and names only existing tests.
"""

from __future__ import annotations

import ast
import re
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[3]
PAGE = REPOSITORY / "docs" / "PROOFS.md"
PROMISES = range(1, 13)
ROW = re.compile(r"^\| (?:[^|]*; )?((?:\d+(?:, )?)+)\. ?[^|]*\|", re.MULTILINE)


def _known_tests() -> set[str]:
    names = set()
    for path in (REPOSITORY / "tests").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
                names.add(node.name)
    return names


def test_every_promise_has_a_row() -> None:
    covered = set()
    for numbers in ROW.findall(PAGE.read_text(encoding="utf-8")):
        covered.update(int(number) for number in numbers.split(", "))

    assert sorted(set(PROMISES) - covered) == []


def test_every_named_test_exists() -> None:
    named = set(re.findall(r"`(test_\w+)`", PAGE.read_text(encoding="utf-8")))

    assert len(named) > 60
    assert sorted(named - _known_tests()) == []
