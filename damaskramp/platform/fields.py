"""Fields of published tables, each checked by itself.

A value that can't be read becomes a finding with its place and leaves the fields beside
it alone. The store may hold what a later version of the platform has written.
"""

from collections.abc import Callable
from typing import Any, TypeVar

import orjson

from damaskramp.core import Findings, Place, parse_seconds

__all__ = [
    "DecodeError",
    "Fields",
    "digits",
    "number",
    "read_object",
    "seconds",
    "text",
    "whole_number",
]

SOURCE = "configuration"
"""Name of the published document in findings."""

LONGEST_SECONDS = 86_400.0
"""Longest duration that is taken; timers can't wait for an endless one."""

LONGEST_NUMBER = 18
"""Digits of the longest number in a text; such numbers fit 64 bits."""

Value = TypeVar("Value")


class DecodeError(ValueError):
    """A value can't be read; the message tells what is wrong."""


class Fields:
    """One table of a document.

    Parameters
    ----------
    table : object
        The table; anything else is a finding, and then no field is there.
    path : str
        Dotted path of the table, for findings.
    """

    def __init__(self, table: object, path: str, findings: Findings) -> None:
        self._path = path
        self._findings = findings
        self._is_table = isinstance(table, dict)
        self._table: dict[str, Any] = table if self._is_table else {}
        if not self._is_table:
            self.error("", f"a table is needed, found {type(table).__name__}")

    @property
    def is_table(self) -> bool:
        """Whether there are fields at all."""
        return self._is_table

    def names(self) -> list[str]:
        """Names of the fields."""
        return list(self._table)

    def has(self, key: str) -> bool:
        """Whether a field has a value."""
        return self._table.get(key) is not None

    def raw(self, key: str) -> Any:
        """Value of a field as sent; None where it is missing."""
        return self._table.get(key)

    def table(self, key: str) -> "Fields":
        """Table in a field."""
        return Fields(self._table.get(key), self._place(key), self._findings)

    def optional_table(self, key: str) -> "Fields":
        """Table in a field; an empty one where the field is missing."""
        value = self._table.get(key)
        return Fields({} if value is None else value, self._place(key), self._findings)

    def required(self, key: str, read: Callable[[object], Value]) -> Value | None:
        """Value without which the table is of no use; None after an error."""
        try:
            return read(self._table.get(key))
        except DecodeError as error:
            self.error(key, str(error))
            return None

    def value(self, key: str, read: Callable[[object], Value], default: Value) -> Value:
        """Value of a field; the default where it is missing or can't be read."""
        found = self._table.get(key)
        if found is None:
            return default
        try:
            return read(found)
        except DecodeError as error:
            self.warning(key, f"{error}; {default!r} is used")
            return default

    def error(self, key: str, message: str) -> None:
        """Note that something can't be used at all."""
        self._findings.error(Place(SOURCE, self._place(key)), message)

    def warning(self, key: str, message: str) -> None:
        """Note that something is used in another way than published."""
        self._findings.warning(Place(SOURCE, self._place(key)), message)

    def _place(self, key: str) -> str:
        return f"{self._path}.{key}".strip(".")


def read_object(document: bytes) -> dict[str, Any]:
    """JSON object of a document.

    Raises
    ------
    DecodeError
        If it is none.
    """
    try:
        body = orjson.loads(document)
    except orjson.JSONDecodeError as error:
        raise DecodeError(f"not JSON: {error}") from error
    if not isinstance(body, dict):
        raise DecodeError(f"an object is needed, found {type(body).__name__}")
    return body


def text(value: object) -> str:
    """Text that is not empty."""
    if not isinstance(value, str) or not value:
        raise DecodeError(f"{value!r} is not a text, or is empty")
    return value


def whole_number(least: int) -> Callable[[object], int]:
    """Reader of whole numbers from `least` on."""

    def read(value: object) -> int:
        if not isinstance(value, int) or isinstance(value, bool) or value < least:
            raise DecodeError(f"{value!r} is not a whole number from {least} on")
        return value

    return read


def number(value: object) -> float:
    """Number that is not negative."""
    if not isinstance(value, int | float) or isinstance(value, bool) or value < 0:
        raise DecodeError(f"{value!r} is not a number, or is negative")
    return float(value)


def seconds(value: object) -> float:
    """Duration in seconds."""
    found = parse_seconds(value)
    if found is None:
        raise DecodeError(f"{value!r} is not a time in ms or s")
    if found > LONGEST_SECONDS:
        raise DecodeError(f"{value!r} is longer than {LONGEST_SECONDS:.0f} s")
    return found


def digits(value: str) -> int:
    """Whole number of a text that holds digits only."""
    if not value.isascii() or not value.isdigit() or len(value) > LONGEST_NUMBER:
        raise DecodeError(f"{value[:80]!r} is not a number")
    return int(value)
