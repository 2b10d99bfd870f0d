"""The check that each module is reached by a program."""

from pathlib import Path

from tools.check_reached import find_reached

SOURCES = {
    "p": "",
    "p.main": "from p import used\nimport p.deep.one\n",
    "p.used": "def run():\n    from p.later import thing\n",
    "p.later": "",
    "p.deep": "",
    "p.deep.one": "",
    "p.unused": "import p.used\n",
}


def test_a_module_that_no_program_imports_is_not_counted_as_reached(
    tmp_path: Path,
) -> None:
    """It would stay for ever, and its tests would show what nobody uses."""
    modules = {}
    for name, text in SOURCES.items():
        modules[name] = tmp_path / f"{name}.py"
        modules[name].write_text(text)
    assert find_reached(["p.main"], modules) == SOURCES.keys() - {"p.unused"}
