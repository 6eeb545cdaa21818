"""Interface to the place where a fleet's configuration and servers are published."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from damaskramp.fleet.model import (
    BackendServer,
    EvacuationStatement,
    FleetConfiguration,
    Removal,
    StorePosition,
)

__all__ = [
    "FleetSource",
    "RevisionExpiredError",
    "SourceBusyError",
    "SourceChanges",
    "SourceError",
    "SourceSnapshot",
]


class SourceError(Exception):
    """The source gave no usable answer."""


class SourceBusyError(SourceError):
    """The source refused the call because of its own load."""


class RevisionExpiredError(SourceError):
    """The source no longer has the requested changes; a snapshot must be read."""


@dataclass(frozen=True, slots=True)
class SourceSnapshot:
    """All published data, with the position after which to watch for changes.

    Attributes
    ----------
    problem : str
        Reason why the published configuration can't be read; empty if it can be read,
        or if there is none.
    evacuations : tuple of EvacuationStatement or None
        Zones whose evacuation is requested; None if the source reads no evacuations.
    """

    configuration: FleetConfiguration | None
    servers: tuple[BackendServer, ...]
    position: StorePosition
    problem: str = ""
    evacuations: tuple[EvacuationStatement, ...] | None = None


@dataclass(frozen=True, slots=True)
class SourceChanges:
    """Changes after a position.

    Attributes
    ----------
    removed : tuple of Removal
        Descriptions that were deleted, or replaced by ones that can't be read.
    problem : str
        Reason why the newest configuration among the changes can't be read; empty
        otherwise.
    evacuations : tuple of EvacuationStatement or None
        Newest statement on each zone whose evacuation was requested or withdrawn; None
        if the source reads no evacuations.
    """

    configuration: FleetConfiguration | None
    servers: tuple[BackendServer, ...]
    removed: tuple[Removal, ...]
    position: StorePosition
    problem: str = ""
    evacuations: tuple[EvacuationStatement, ...] | None = None


class FleetSource(ABC):
    """Source of one fleet's published data that can be read and watched."""

    @abstractmethod
    async def snapshot(self) -> SourceSnapshot:
        """Read all published data.

        Raises
        ------
        RevisionExpiredError
            If the source has begun another epoch meanwhile.
        SourceError
            If there was no usable answer.
        """

    @abstractmethod
    async def changes(self, after: StorePosition, seconds: float) -> SourceChanges:
        """Wait up to `seconds` for changes after a position.

        Raises
        ------
        RevisionExpiredError
            If the changes are no longer kept, or the source has begun another epoch.
        SourceError
            If there was no usable answer.
        """

    @abstractmethod
    def decode(self, document: bytes) -> FleetConfiguration:
        """Decode a configuration that another host handed on.

        Raises
        ------
        SourceError
            If the document can't be read.
        """

    @abstractmethod
    def close(self) -> None:
        """Close the connections to the source."""
