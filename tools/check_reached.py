"""Count the product's lines by the programs that reach them by import.

Fails where a module is reached by no program: nobody would miss it, and its
tests would show that something works which nothing uses.
"""

import ast
import sys
from collections.abc import Iterable
from pathlib import Path

SOURCES = Path("src")
PRODUCT = "zinniaspool"

DEPLOYED = ("zinniaspool.platform.entry", "zinniaspool.platform.control")
"""Programs that the deploy file starts."""

COMMANDS = ("zinniaspool.cli.main",)
OLDER = ("zinniaspool.entry.main", "zinniaspool.control.main")
"""Programs of the product's own interface."""


def list_modules() -> dict[str, Path]:
    """Return the product's modules by name."""
    found = {}
    for path in sorted((SOURCES / PRODUCT).rglob("*.py")):
        parts = path.relative_to(SOURCES).with_suffix("").parts
        name = ".".join(parts[:-1] if parts[-1] == "__init__" else parts)
        found[name] = path
    return found


def list_imports(path: Path) -> Iterable[str]:
    """Yield the names that a module imports, also inside functions."""
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            yield from (one.name for one in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module is not None:
            yield node.module
            yield from (f"{node.module}.{one.name}" for one in node.names)


def find_reached(programs: Iterable[str], modules: dict[str, Path]) -> set[str]:
    """Return the modules that some programs import, with their packages."""
    reached: set[str] = set()
    waiting = list(programs)
    while waiting:
        name = waiting.pop()
        if name not in modules or name in reached:
            continue
        reached.add(name)
        waiting += list_imports(modules[name])
        waiting.append(name.rpartition(".")[0])
    return reached


def count_lines(names: Iterable[str], modules: dict[str, Path]) -> int:
    """Return how many lines some modules have together."""
    return sum(len(modules[name].read_text("utf-8").splitlines()) for name in names)


def main() -> int:
    """Print the counts; 1 where a module is reached by no program."""
    modules = list_modules()
    deployed = find_reached(DEPLOYED, modules)
    commanded = find_reached((*DEPLOYED, *COMMANDS), modules)
    reached = find_reached((*DEPLOYED, *COMMANDS, *OLDER), modules)
    everything = count_lines(modules, modules)
    for what, names in (
        ("by the deployed programs", deployed),
        ("by these or the command line", commanded),
        ("by any program", reached),
    ):
        print(f"{count_lines(names, modules)} of {everything} lines reached {what}")
    lost = sorted(modules.keys() - reached)
    for name in lost:
        print(f"reached by no program: {name}", file=sys.stderr)
    return 1 if lost else 0


if __name__ == "__main__":
    sys.exit(main())
