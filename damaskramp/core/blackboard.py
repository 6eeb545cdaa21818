"""Blackboard of typed sections that controllers read and write.

Each section has one controller that replaces its value; the other controllers
read the value or subscribe to its replacements. Values are treated as immutable.

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
    """Named, typed value with subscribers.

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
        """Register a callback that is called with each new value."""
        self._subscribers.append(callback)

    def replace(self, value: T) -> None:
        """Set the value and call the subscribers."""
        self._value = value
        for callback in self._subscribers:
            callback(value)


class Blackboard:
    """Collection of sections, each created once by the controller that owns it."""

    def __init__(self) -> None:
        self._sections: dict[str, Section] = {}

    @property
    def sections(self) -> tuple[Section, ...]:
        """All sections in order of creation."""
        return tuple(self._sections.values())

    def create(self, name: str, value: T) -> Section[T]:
        """Create a section with its initial value.

        Raises
        ------
        ValueError
            If a section of this name exists, since a section has only one owner.
        """
        if name in self._sections:
            raise ValueError(f"section {name!r} already has an owner")
        section = Section(name, value)
        self._sections[name] = section
        return section
