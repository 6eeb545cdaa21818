"""The blackboard: typed sections that controllers read and write.

Each section has one controller that replaces its value; every other controller
reads it or subscribes to its replacement. Values are treated as immutable.

Examples
--------
>>> section = Section("limits", 3)
>>> seen = []
>>> section.subscribe(seen.append)
>>> section.replace(4)
>>> section.value, seen
(4, [4])
"""

from collections.abc import Callable
from typing import Generic, TypeVar

__all__ = ["Blackboard", "Section"]

T = TypeVar("T")


class Section(Generic[T]):
    """One typed value with subscribers.

    Parameters
    ----------
    name : str
        Name shown by ``damaskramp-status``.
    value : T
        Initial value.
    """

    def __init__(self, name: str, value: T) -> None:
        self._name = name
        self._value = value
        self._subscribers: list[Callable[[T], None]] = []

    @property
    def name(self) -> str:
        """Name of the section."""
        return self._name

    @property
    def value(self) -> T:
        """Current value."""
        return self._value

    def subscribe(self, callback: Callable[[T], None]) -> None:
        """Call `callback` with each new value."""
        self._subscribers.append(callback)

    def replace(self, value: T) -> None:
        """Set the value and tell the subscribers."""
        self._value = value
        for callback in self._subscribers:
            callback(value)


class Blackboard:
    """Collection of sections, each created once by the controller owning it."""

    def __init__(self) -> None:
        self._sections: dict[str, Section] = {}

    @property
    def sections(self) -> tuple[Section, ...]:
        """All sections in order of creation."""
        return tuple(self._sections.values())

    def create(self, name: str, value: T) -> Section[T]:
        """Create a section.

        Raises
        ------
        ValueError
            If a section of this name exists: two controllers claim it.
        """
        if name in self._sections:
            raise ValueError(f"section {name!r} already has an owner")
        section = Section(name, value)
        self._sections[name] = section
        return section
