"""Fields of published tables, each validated independently.

A value that can't be read becomes a finding with its path and does not affect the other
fields of the table. Such values occur because the store may hold documents that a later
version of the platform has written.
"""

import reprlib
from collections.abc import Callable
from typing import Any, TypeVar

import orjson

from damaskramp.core import Findings, Place, parse_seconds

__all__ = [
    "DecodeError",
    "Fields",
    "integer_parser",
    "parse_digits",
    "parse_duration",
    "parse_number",
    "parse_text",
    "read_object",
    "shorten",
]

FINDING_SOURCE = "configuration"
"""Name of the published document in findings."""

MAX_DURATION_SECONDS = 86_400.0
"""Longest duration that is accepted; timers can't wait for an unbounded one."""

MAX_DIGITS = 18
"""Most digits of a number that is written as text; such a number fits in 64 bits."""

Value = TypeVar("Value")


class DecodeError(ValueError):
    """A value can't be read; the message says what is wrong with it."""


class Fields:
    """One table of a document.

    Parameters
    ----------
    table : object
        The table. Any other type is recorded as an error, and the table is then empty.
    path : str
        Dotted path of the table, for findings.
    findings : Findings
        Collection that receives the errors and warnings.
    """

    def __init__(self, table: object, path: str, findings: Findings) -> None:
        self._path = path
        self._findings = findings
        self._is_table = isinstance(table, dict)
        self._table: dict[str, Any] = table if self._is_table else {}
        if not self._is_table:
            self.error("", f"expected a table, found {type(table).__name__}")

    @property
    def is_table(self) -> bool:
        """Whether the value is a table, so that it can have fields."""
        return self._is_table

    def names(self) -> list[str]:
        """Names of the fields."""
        return list(self._table)

    def has(self, key: str) -> bool:
        """Whether a field has a value."""
        return self._table.get(key) is not None

    def raw(self, key: str) -> Any:
        """Value of a field without validation; None if the field is missing."""
        return self._table.get(key)

    def table(self, key: str) -> "Fields":
        """Table in a field; an error is recorded if the field holds no table."""
        return Fields(self._table.get(key), self._path_of(key), self._findings)

    def optional_table(self, key: str) -> "Fields":
        """Table in a field; an empty table if the field is missing."""
        value = self._table.get(key)
        return Fields(
            {} if value is None else value, self._path_of(key), self._findings
        )

    def required(self, key: str, parse: Callable[[object], Value]) -> Value | None:
        """Parse a mandatory field; record an error and return None if that fails."""
        try:
            return parse(self._table.get(key))
        except DecodeError as error:
            self.error(key, str(error))
            return None

    def value(
        self, key: str, parse: Callable[[object], Value], default: Value
    ) -> Value:
        """Parse a field; return the default if it is missing or can't be read."""
        found = self._table.get(key)
        if found is None:
            return default
        try:
            return parse(found)
        except DecodeError as error:
            self.warning(key, f"{error}; using {shorten(default)} instead")
            return default

    def error(self, key: str, message: str) -> None:
        """Record that a value can't be used at all."""
        self._findings.error(Place(FINDING_SOURCE, self._path_of(key)), message)

    def warning(self, key: str, message: str) -> None:
        """Record that a value is replaced by a default or used with a restriction."""
        self._findings.warning(Place(FINDING_SOURCE, self._path_of(key)), message)

    def _path_of(self, key: str) -> str:
        return f"{self._path}.{key}".strip(".")


_SHORT_REPR = reprlib.Repr()
_SHORT_REPR.maxlevel = 2
_SHORT_REPR.maxstring = _SHORT_REPR.maxother = 80


def shorten(value: object) -> str:
    """Return a short text of a value of any depth and length, for messages.

    `repr` fails for values that are nested more deeply than Python's stack, and is as
    long as the value.

    Examples
    --------
    >>> shorten([[[1]]]), len(shorten("x" * 1000)) < 100
    ('[[[...]]]', True)
    """
    return _SHORT_REPR.repr(value)


def read_object(document: bytes) -> dict[str, Any]:
    """Parse a document that holds a JSON object.

    Raises
    ------
    DecodeError
        If the document is not JSON or its value is not an object.
    """
    try:
        body = orjson.loads(document)
    except orjson.JSONDecodeError as error:
        raise DecodeError(f"not JSON: {error}") from error
    if not isinstance(body, dict):
        raise DecodeError(f"expected an object, found {type(body).__name__}")
    return body


def parse_text(value: object) -> str:
    """Check that a value is a non-empty string."""
    if not isinstance(value, str) or not value:
        raise DecodeError(f"{shorten(value)} is not a non-empty string")
    return value


def integer_parser(minimum: int, maximum: int | None = None) -> Callable[[object], int]:
    """Make a parser of integers that are at least `minimum`, and at most `maximum`."""

    def parse(value: object) -> int:
        if not isinstance(value, int) or isinstance(value, bool) or value < minimum:
            raise DecodeError(
                f"{shorten(value)} is not an integer of at least {minimum}"
            )
        if maximum is not None and value > maximum:
            raise DecodeError(f"{value} is larger than {maximum}")
        return value

    return parse


def parse_number(value: object) -> float:
    """Convert a non-negative number to float."""
    if not isinstance(value, int | float) or isinstance(value, bool) or value < 0:
        raise DecodeError(f"{shorten(value)} is not a non-negative number")
    return float(value)


def parse_duration(value: object) -> float:
    """Parse a duration with the unit ms or s into seconds."""
    found = parse_seconds(value)
    if found is None:
        raise DecodeError(f"{shorten(value)} is not a duration in ms or s")
    if found > MAX_DURATION_SECONDS:
        raise DecodeError(
            f"{shorten(value)} is longer than {MAX_DURATION_SECONDS:.0f} s"
        )
    return found


def parse_digits(value: str) -> int:
    """Parse a string of ASCII digits into an integer."""
    if not value.isascii() or not value.isdigit() or len(value) > MAX_DIGITS:
        raise DecodeError(
            f"{value[:80]!r} is not a decimal number of up to {MAX_DIGITS} digits"
        )
    return int(value)
