"""Checks that no modules of `packages` and `platform` import each other in a cycle."""

from __future__ import annotations

import ast
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[3]


def _module_name(path: Path, root: Path) -> str:
    parts = path.relative_to(root).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def _imports(path: Path) -> set[str]:
    """Return the modules that a file imports at module level, also under `if TYPE_CHECKING`."""
    imported = set()
    tree = ast.parse(path.read_text(encoding="utf-8"))
    blocks = [tree.body]
    while blocks:
        for node in blocks.pop():
            if isinstance(node, ast.If):
                blocks.append(node.body)
            if isinstance(node, ast.Import):
                imported.update(alias.name for alias in node.names)
            if isinstance(node, ast.ImportFrom) and node.module:
                imported.add(node.module)
                imported.update(f"{node.module}.{alias.name}" for alias in node.names)
    return imported


def _import_graph() -> dict[str, set[str]]:
    imports_by_module = {}
    for root in [*REPOSITORY.glob("packages/*/src"), REPOSITORY / "platform"]:
        for path in root.rglob("*.py"):
            if path.name != "__init__.py":
                imports_by_module[_module_name(path, root)] = _imports(path)
    known = set(imports_by_module)
    return {module: imports & known for module, imports in imports_by_module.items()}


def _reachable(graph: dict[str, set[str]], start: str) -> set[str]:
    reachable: set[str] = set()
    pending = list(graph[start])
    while pending:
        module = pending.pop()
        if module in reachable:
            continue
        reachable.add(module)
        pending.extend(graph[module])
    return reachable


def test_module_imports_have_no_cycle() -> None:
    graph = _import_graph()

    assert len(graph) > 150
    assert sorted(module for module in graph if module in _reachable(graph, module)) == []
