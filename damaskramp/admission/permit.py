"""Permit of a call that is parked while the call waits for another service."""

from abc import ABC, abstractmethod

from damaskramp.admission.admission import Permit, Sample

__all__ = ["AdaptivePermit", "PermitOwner"]


class PermitOwner(ABC):
    """Interface of the object to which permits are returned."""

    @abstractmethod
    def park(self) -> None:
        """Record that a running call waits for another service."""

    @abstractmethod
    def resume(self) -> None:
        """Record that a call no longer waits for another service."""

    @abstractmethod
    def record_end(self, sample: Sample | None, window: int | None) -> None:
        """Record the end of a call and its observation."""


class AdaptivePermit(Permit):
    """Permit that can be parked.

    Parameters
    ----------
    owner : PermitOwner
        Object to which the permit is returned.
    window : int or None
        Limiter window in which the permit was granted when the limit was reached;
        None if the limit was not reached.
    """

    def __init__(self, owner: PermitOwner, window: int | None) -> None:
        self._owner = owner
        self._window = window
        self._nested = 0
        self._released = False

    def park(self) -> None:
        """Record that the call waits for a call to another service."""
        self._nested += 1
        if self._nested == 1 and not self._released:
            self._owner.park()

    def resume(self) -> None:
        """Record that the call no longer waits for another service."""
        self._nested -= 1
        if self._nested == 0 and not self._released:
            self._owner.resume()

    def release(self, sample: Sample | None) -> None:
        """Return the permit with the observation of the call, if any."""
        if self._nested:
            self._owner.resume()
        self._released = True
        self._owner.record_end(sample, self._window)
