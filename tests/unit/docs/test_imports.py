"""No module needs another that needs it."""

from __future__ import annotations

import ast
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[3]


def _name_of(path: Path, root: Path) -> str:
    parts = path.relative_to(root).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def _imports(path: Path) -> set[str]:
    """Modules named by imports at the top of a module, those for type checks included."""
    found = set()
    tree = ast.parse(path.read_text(encoding="utf-8"))
    blocks = [tree.body]
    while blocks:
        for node in blocks.pop():
            if isinstance(node, ast.If):
                blocks.append(node.body)
            if isinstance(node, ast.Import):
                found.update(alias.name for alias in node.names)
            if isinstance(node, ast.ImportFrom) and node.module:
                found.add(node.module)
                found.update(f"{node.module}.{alias.name}" for alias in node.names)
    return found


def _graph() -> dict[str, set[str]]:
    imports_by_module = {}
    for root in [*REPOSITORY.glob("packages/*/src"), REPOSITORY / "platform"]:
        for path in root.rglob("*.py"):
            if path.name != "__init__.py":
                imports_by_module[_name_of(path, root)] = _imports(path)
    known = set(imports_by_module)
    return {module: imports & known for module, imports in imports_by_module.items()}


def _reached(graph: dict[str, set[str]], start: str) -> set[str]:
    reached: set[str] = set()
    waiting = list(graph[start])
    while waiting:
        module = waiting.pop()
        if module in reached:
            continue
        reached.add(module)
        waiting.extend(graph[module])
    return reached


def test_no_modules_import_each_other() -> None:
    graph = _graph()

    assert len(graph) > 150
    assert sorted(module for module in graph if module in _reached(graph, module)) == []
