"""Findings: problems of an input, each with its place and severity.

Checks never stop at the first problem. They append to a `Findings` list, which
is reported as a whole.

Examples
--------
>>> findings = Findings()
>>> findings.error(Place("node.toml", "node.zone", 3), "must not be empty")
>>> print(findings)
node.toml:3: node.zone: error: must not be empty
>>> findings.has_errors
True
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum

__all__ = ["Finding", "Findings", "FindingsError", "Place", "Severity"]


class Severity(Enum):
    """Severity of a finding."""

    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True, slots=True)
class Place:
    """Place in an input that a finding refers to.

    Parameters
    ----------
    source : str
        File name or other name of the input.
    key : str
        Dotted path of the value, empty for the input as a whole.
    line : int
        Line number counted from 1, or 0 if unknown.
    """

    source: str
    key: str = ""
    line: int = 0

    def __str__(self) -> str:
        where = f"{self.source}:{self.line}" if self.line else self.source
        return f"{where}: {self.key}" if self.key else where


@dataclass(frozen=True, slots=True)
class Finding:
    """Problem of an input, with its place and severity."""

    place: Place
    message: str
    severity: Severity = Severity.ERROR

    def __str__(self) -> str:
        return f"{self.place}: {self.severity.value}: {self.message}"


class Findings:
    """Ordered collection of findings."""

    def __init__(self) -> None:
        self._items: list[Finding] = []

    @property
    def has_errors(self) -> bool:
        """Whether any finding is an error."""
        return any(item.severity is Severity.ERROR for item in self._items)

    def error(self, place: Place, message: str) -> None:
        """Record an error."""
        self._items.append(Finding(place, message, Severity.ERROR))

    def warning(self, place: Place, message: str) -> None:
        """Record a warning."""
        self._items.append(Finding(place, message, Severity.WARNING))

    def extend(self, other: Iterable[Finding]) -> None:
        """Append all findings of `other`."""
        self._items.extend(other)

    def __iter__(self) -> Iterator[Finding]:
        return iter(self._items)

    def __len__(self) -> int:
        return len(self._items)

    def __str__(self) -> str:
        return "\n".join(str(item) for item in self._items)


class FindingsError(Exception):
    """An input can't be used; the error carries every finding.

    Parameters
    ----------
    findings : Findings
        Problems of the input.
    """

    def __init__(self, findings: Findings) -> None:
        super().__init__(str(findings))
        self._findings = findings

    @property
    def findings(self) -> Findings:
        """Problems of the input."""
        return self._findings
