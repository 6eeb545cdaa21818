"""Calls running on a backend server, and detection of calls that broke together."""

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

    Each call belongs to one generation, which is one process of the backend server.

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
        """Whether two or more calls broke, and all calls that began before these."""
        broken = [entry.broken for entry in self._running]
        if broken.count(True) < 2:
            return False
        last = len(broken) - broken[::-1].index(True)
        return all(broken[:last])

    def begin(self, call: object) -> _Running:
        """Record a call that is sent to the backend server, and return its entry."""
        entry = _Running(call, self._generation)
        self._running[entry] = None
        return entry

    def mark_broken(self, entry: _Running) -> None:
        """Record that the connection of a call broke; the entry stays until `end`."""
        entry.broken = True

    def end(self, entry: _Running) -> None:
        """Remove the entry of a call."""
        self._running.pop(entry, None)

    def broken(self, newest: int) -> list[object]:
        """Return broken calls of the current process, newest first.

        Parameters
        ----------
        newest : int
            Maximum number of calls.
        """
        return self._broken(newest, self._generation)

    def broken_late(self, newest: int) -> list[object]:
        """Return calls of the previous process that broke after its death was recorded.

        Parameters
        ----------
        newest : int
            Maximum number of calls.
        """
        return self._broken(newest, self._generation - 1)

    def next_process(self) -> None:
        """Assign the calls that begin from now on to a new process."""
        self._generation += 1

    def _broken(self, newest: int, generation: int) -> list[object]:
        entries: Iterable[_Running] = reversed(self._running)
        calls = [
            entry.call
            for entry in entries
            if entry.broken and entry.generation == generation
        ]
        return calls[:newest]
