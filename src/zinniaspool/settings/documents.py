"""JSON with comments: its text, its values and where each value stands.

Comments and trailing commas are blanked out, each by as many spaces, so that
the standard library's parser reads the rest and every position it names is
one of the operator's own file. Positions of values are worked out only where
there are faults: a whole inventory is near a megabyte, and a parser that
keeps the position of every value takes seconds over it.
"""

import json
import re
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from zinniaspool.settings.faults import FileFault, KeyPath

__all__ = ["Document", "read_document"]

_STRING_OR_COMMENT = re.compile(
    r'"(?:[^"\\\n]|\\.)*"|//[^\n]*|/\*.*?\*/|/\*.*\Z', re.DOTALL
)
_STRING_OR_COMMA = re.compile(r'"(?:[^"\\\n]|\\.)*"|,(?=\s*[\]}])', re.DOTALL)
_NOT_LINE_BREAK = re.compile(r"[^\n]")
_SPACE = re.compile(r"\s*")
_MOST_DEPTH = 64
"""Nesting of a file; deeper ones would exhaust the parser's stack."""


@dataclass(frozen=True, slots=True)
class Document:
    """A file that parsed.

    Attributes:
        file: As the operator named it.
        text: Strict JSON, each character where it stands in the file.
        value: The parsed value.
    """

    file: str
    text: str
    value: Any

    def find_lines(self, paths: Iterable[KeyPath]) -> dict[KeyPath, int]:
        """Return the line of each path, or of its nearest enclosing value."""
        wanted: dict[Any, Any] = {}
        asked = list(paths)
        for path in asked:
            branch = wanted
            for step in path:
                branch = branch.setdefault(step, {})
        found: dict[KeyPath, int] = {}
        _Locator(self.text, found).visit(0, (), wanted)
        return {path: self._line(_find_nearest(found, path)) for path in asked}

    def _line(self, offset: int) -> int:
        return self.text.count("\n", 0, offset) + 1


def read_document(file: str, text: str) -> Document | list[FileFault]:
    """Return a document, or the faults that keep it from being one."""
    blanked = _STRING_OR_COMMENT.sub(_blank_comment, text)
    blanked = _STRING_OR_COMMA.sub(_blank_comma, blanked)
    if _measure_depth(blanked) > _MOST_DEPTH:
        return [FileFault(file, 1, "", "values nested too deeply", "a flat document")]
    repeated: list[str] = []
    try:
        value = json.loads(
            blanked,
            object_pairs_hook=lambda pairs: _make_object(pairs, repeated),
            parse_constant=_refuse_constant,
        )
    except json.JSONDecodeError as error:
        found = f"{error.msg} at column {error.colno}"
        return [FileFault(file, error.lineno, "", found, "JSON with comments")]
    except ValueError as error:
        return [FileFault(file, 1, "", str(error), "JSON with comments")]
    if repeated:
        return [
            FileFault(file, line, key, "a key that stands twice", "each key once")
            for key in dict.fromkeys(repeated)
            for line in _find_repeated_lines(blanked, key)
        ]
    return Document(file, blanked, value)


def _blank_comment(match: re.Match[str]) -> str:
    found = match.group()
    return found if found.startswith('"') else _NOT_LINE_BREAK.sub(" ", found)


def _blank_comma(match: re.Match[str]) -> str:
    return " " if match.group() == "," else match.group()


def _measure_depth(text: str) -> int:
    """Return how deeply values nest, brackets inside strings left out."""
    depth = deepest = 0
    for bracket in re.findall(r'"(?:[^"\\\n]|\\.)*"|([\[{\]}])', text):
        if bracket in ("[", "{"):
            depth += 1
            deepest = max(deepest, depth)
        elif bracket:
            depth -= 1
    return deepest


def _make_object(pairs: list[tuple[str, Any]], repeated: list[str]) -> dict[str, Any]:
    made = dict(pairs)
    if len(made) < len(pairs):
        keys = [key for key, _ in pairs]
        repeated += [key for key in made if keys.count(key) > 1]
    return made


def _refuse_constant(name: str) -> None:
    raise ValueError(f"the number {name}")


def _find_repeated_lines(text: str, key: str) -> list[int]:
    """Return the lines on which a key stands, for the operator to choose."""
    pattern = re.compile(re.escape(json.dumps(key, ensure_ascii=False)) + r"\s*:")
    return [text.count("\n", 0, at.start()) + 1 for at in pattern.finditer(text)] or [1]


def _find_nearest(found: dict[KeyPath, int], path: KeyPath) -> int:
    while path and path not in found:
        path = path[:-1]
    return found.get(path, 0)


class _Locator:
    """Finds where wanted values stand in text that is known to be JSON."""

    def __init__(self, text: str, found: dict[KeyPath, int]) -> None:
        self._text = text
        self._found = found
        self._decoder = json.JSONDecoder()

    def visit(self, at: int, path: KeyPath, wanted: dict[Any, Any]) -> int:
        """Note one value's place and return the place behind it."""
        at = self._skip_space(at)
        self._found.setdefault(path, at)
        opening = self._text[at]
        if not wanted or opening not in "{[":
            return self._decoder.raw_decode(self._text, at)[1]
        if opening == "{":
            return self._visit_object(at, path, wanted)
        return self._visit_array(at, path, wanted)

    def _visit_object(self, at: int, path: KeyPath, wanted: dict[Any, Any]) -> int:
        at = self._skip_space(at + 1)
        while self._text[at] != "}":
            key_at = at
            key, at = self._decoder.raw_decode(self._text, at)
            at = self._skip_space(at) + 1
            below = (*path, key)
            if key in wanted:
                # The key's own place is what an operator looks for.
                self._found[below] = key_at
            at = self.visit(at, below, wanted.get(key, {}))
            at = self._skip_comma(at)
        return at + 1

    def _visit_array(self, at: int, path: KeyPath, wanted: dict[Any, Any]) -> int:
        at = self._skip_space(at + 1)
        position = 0
        while self._text[at] != "]":
            at = self.visit(at, (*path, position), wanted.get(position, {}))
            at = self._skip_comma(at)
            position += 1
        return at + 1

    def _skip_space(self, at: int) -> int:
        found = _SPACE.match(self._text, at)
        return found.end() if found else at

    def _skip_comma(self, at: int) -> int:
        at = self._skip_space(at)
        return self._skip_space(at + 1) if self._text[at] == "," else at
