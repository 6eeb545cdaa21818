"""Calls on a backend server, and which of them broke at once."""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["RunningCalls"]


@dataclass(slots=True, eq=False)
class _Running:
    call: object
    generation: int
    broken: bool = False


class RunningCalls:
    """Calls that a backend server is running, in order of their start.

    Examples
    --------
    >>> calls = RunningCalls()
    >>> first, second = calls.begin("a"), calls.begin("b")
    >>> calls.mark_broken(first)
    >>> calls.all_broken
    False
    >>> calls.mark_broken(second)
    >>> calls.all_broken, calls.broken(newest=1)
    (True, ['b'])
    """

    def __init__(self) -> None:
        self._running: dict[_Running, None] = {}
        self._generation = 0

    def __len__(self) -> int:
        return len(self._running)

    @property
    def all_broken(self) -> bool:
        """Whether several calls broke and none of the older ones goes on."""
        broken = [entry.broken for entry in self._running]
        if broken.count(True) < 2:
            return False
        last = len(broken) - broken[::-1].index(True)
        return all(broken[:last])

    def begin(self, call: object) -> _Running:
        """Record a call that is sent to the backend server."""
        entry = _Running(call, self._generation)
        self._running[entry] = None
        return entry

    def mark_broken(self, entry: _Running) -> None:
        """Record that the connection of a call broke; it stays until `end`."""
        entry.broken = True

    def end(self, entry: _Running) -> None:
        """Forget a call."""
        self._running.pop(entry, None)

    def broken(self, newest: int) -> list[object]:
        """Calls of the present process that broke, newest first, at most so many."""
        return self._broken(newest, self._generation)

    def broken_late(self, newest: int) -> list[object]:
        """Calls that broke by the former death, but only after it was known."""
        return self._broken(newest, self._generation - 1)

    def next_process(self) -> None:
        """Count what begins from now on as calls of another process."""
        self._generation += 1

    def _broken(self, newest: int, generation: int) -> list[object]:
        entries: Iterable[_Running] = reversed(self._running)
        calls = [
            entry.call
            for entry in entries
            if entry.broken and entry.generation == generation
        ]
        return calls[:newest]
