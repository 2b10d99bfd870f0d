"""Which packages of the product may import which."""

import ast
from pathlib import Path

import pytest

SOURCES = Path(__file__).parent.parent / "src" / "zinniaspool"
MAY_IMPORT = {
    "core": {"core"},
    "http": {"core", "http"},
    "peers": {"core", "peers"},
    "telemetry": {"core", "http", "telemetry"},
    "fleet": {"core", "fleet", "http", "peers", "telemetry"},
    "gateway": {"core", "fleet", "gateway", "http", "telemetry"},
    "keeper": {"core", "fleet", "http", "keeper", "telemetry"},
}


def list_imports(module: Path) -> set[str]:
    """Return the packages of the product that a module imports."""
    names = []
    for node in ast.walk(ast.parse(module.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom) and node.module is not None:
            names += [f"{node.module}.{alias.name}" for alias in node.names]
        elif isinstance(node, ast.Import):
            names += [alias.name for alias in node.names]
    return {name.split(".")[1] for name in names if name.split(".")[0] == "zinniaspool"}


@pytest.mark.parametrize("part", MAY_IMPORT)
def test_a_part_imports_only_what_it_may_know(part: str) -> None:
    """Otherwise decisions come to depend on one platform's protocols."""
    foreign = {
        f"{module.relative_to(SOURCES)}: {name}"
        for module in (SOURCES / part).rglob("*.py")
        for name in list_imports(module) - MAY_IMPORT[part]
    }
    assert not foreign
