"""Parser of JSON with comments, which finds the line of each value.

Comments and trailing commas are replaced by spaces of the same length. The
standard library's parser reads the result, and the positions that it reports
are positions in the operator's file. Positions of values are determined only
if there are faults: an inventory has nearly a megabyte, and a parser that
records the position of every value needs seconds for it.
"""

import json
import re
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from zinniaspool.settings.faults import FileFault, KeyPath

__all__ = ["Document", "parse_document"]

_STRING_OR_COMMENT = re.compile(
    r'"(?:[^"\\\n]|\\.)*"|//[^\n]*|/\*.*?\*/|/\*.*\Z', re.DOTALL
)
_STRING_OR_COMMA = re.compile(r'"(?:[^"\\\n]|\\.)*"|,(?=\s*[\]}])', re.DOTALL)
_NOT_LINE_BREAK = re.compile(r"[^\n]")
_SPACE = re.compile(r"\s*")
_MAX_DEPTH = 64
"""Maximum nesting of a file. Deeper nesting would exhaust the stack of the
parser."""


@dataclass(frozen=True, slots=True)
class Document:
    """A file that was parsed without faults.

    Attributes:
        file: Path of the file, as given by the operator.
        text: Strict JSON, each character at its position in the file.
        value: The parsed value.
    """

    file: str
    text: str
    value: Any

    def find_lines(self, paths: Iterable[KeyPath]) -> dict[KeyPath, int]:
        """Return the line of each path.

        This is the line of the key or array item. If there is no value at a
        path, it is the line of the nearest enclosing value.
        """
        wanted: dict[Any, Any] = {}
        requested = list(paths)
        for path in requested:
            branch = wanted
            for part in path:
                branch = branch.setdefault(part, {})
        found: dict[KeyPath, int] = {}
        _ValueLocator(self.text, found).locate(0, (), wanted)
        return {
            path: self._get_line_number(_find_nearest(found, path))
            for path in requested
        }

    def _get_line_number(self, offset: int) -> int:
        return self.text.count("\n", 0, offset) + 1


def parse_document(file: str, text: str) -> Document | list[FileFault]:
    """Return the parsed document, or its faults if it cannot be parsed."""
    blanked = _STRING_OR_COMMENT.sub(_blank_comment, text)
    blanked = _STRING_OR_COMMA.sub(_blank_comma, blanked)
    if _measure_depth(blanked) > _MAX_DEPTH:
        return [FileFault(file, 1, "", "values nested too deeply", "a flat document")]
    repeated: list[str] = []
    try:
        value = json.loads(
            blanked,
            object_pairs_hook=lambda pairs: _build_object(pairs, repeated),
            parse_constant=_reject_constant,
        )
    except json.JSONDecodeError as error:
        found = f"{error.msg} at column {error.colno}"
        return [FileFault(file, error.lineno, "", found, "JSON with comments")]
    except ValueError as error:
        return [FileFault(file, 1, "", str(error), "JSON with comments")]
    if repeated:
        return [
            FileFault(file, line, key, "a duplicate key", "each key once")
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
    """Return the maximum nesting of values, without brackets in strings."""
    depth = deepest = 0
    for bracket in re.findall(r'"(?:[^"\\\n]|\\.)*"|([\[{\]}])', text):
        if bracket in ("[", "{"):
            depth += 1
            deepest = max(deepest, depth)
        elif bracket:
            depth -= 1
    return deepest


def _build_object(pairs: list[tuple[str, Any]], repeated: list[str]) -> dict[str, Any]:
    result = dict(pairs)
    if len(result) < len(pairs):
        keys = [key for key, _ in pairs]
        repeated += [key for key in result if keys.count(key) > 1]
    return result


def _reject_constant(name: str) -> None:
    raise ValueError(f"the number {name}")


def _find_repeated_lines(text: str, key: str) -> list[int]:
    """Return all lines that contain a key.

    The parser reports no position of a duplicate key, so the operator gets
    each line that may contain it.
    """
    pattern = re.compile(re.escape(json.dumps(key, ensure_ascii=False)) + r"\s*:")
    return [text.count("\n", 0, at.start()) + 1 for at in pattern.finditer(text)] or [1]


def _find_nearest(found: dict[KeyPath, int], path: KeyPath) -> int:
    while path and path not in found:
        path = path[:-1]
    return found.get(path, 0)


class _ValueLocator:
    """Finds the positions of wanted values in text that is valid JSON.

    Args:
        text: Strict JSON.
        found: Receives the offset of each value that is found, by path.
    """

    def __init__(self, text: str, found: dict[KeyPath, int]) -> None:
        self._text = text
        self._found = found
        self._decoder = json.JSONDecoder()

    def locate(self, at: int, path: KeyPath, wanted: dict[Any, Any]) -> int:
        """Record the offset of a value and return the offset behind it.

        Args:
            at: Offset at or before the value, separated from it only by space.
            path: Path of the value.
            wanted: Tree of the wanted paths below the value; where it is
                empty, the value is skipped as a whole.
        """
        at = self._skip_space(at)
        self._found.setdefault(path, at)
        opening = self._text[at]
        if not wanted or opening not in "{[":
            return self._decoder.raw_decode(self._text, at)[1]
        if opening == "{":
            return self._locate_in_object(at, path, wanted)
        return self._locate_in_array(at, path, wanted)

    def _locate_in_object(self, at: int, path: KeyPath, wanted: dict[Any, Any]) -> int:
        at = self._skip_space(at + 1)
        while self._text[at] != "}":
            key_at = at
            key, at = self._decoder.raw_decode(self._text, at)
            at = self._skip_space(at) + 1
            below = (*path, key)
            if key in wanted:
                # Messages give the line of the key, not that of its value:
                # operators look for the key.
                self._found[below] = key_at
            at = self.locate(at, below, wanted.get(key, {}))
            at = self._skip_comma(at)
        return at + 1

    def _locate_in_array(self, at: int, path: KeyPath, wanted: dict[Any, Any]) -> int:
        at = self._skip_space(at + 1)
        position = 0
        while self._text[at] != "]":
            at = self.locate(at, (*path, position), wanted.get(position, {}))
            at = self._skip_comma(at)
            position += 1
        return at + 1

    def _skip_space(self, at: int) -> int:
        found = _SPACE.match(self._text, at)
        return found.end() if found else at

    def _skip_comma(self, at: int) -> int:
        at = self._skip_space(at)
        return self._skip_space(at + 1) if self._text[at] == "," else at
