"""Findings: what is wrong with an input, where, and how badly.

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
    """How badly a finding weighs."""

    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True, slots=True)
class Place:
    """Where in an input a finding applies.

    Parameters
    ----------
    source : str
        File name or other name of the input.
    key : str
        Dotted path of the value, empty for the input as a whole.
    line : int
        Line number counted from 1, or 0 where unknown.
    """

    source: str
    key: str = ""
    line: int = 0

    def __str__(self) -> str:
        where = f"{self.source}:{self.line}" if self.line else self.source
        return f"{where}: {self.key}" if self.key else where


@dataclass(frozen=True, slots=True)
class Finding:
    """One problem with its place."""

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
    """Input can't be used; carries every finding.

    Parameters
    ----------
    findings : Findings
        What is wrong.
    """

    def __init__(self, findings: Findings) -> None:
        super().__init__(str(findings))
        self._findings = findings

    @property
    def findings(self) -> Findings:
        """What is wrong."""
        return self._findings
