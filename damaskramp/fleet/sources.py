"""Interface to the place where a fleet's configuration and servers are published."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from damaskramp.fleet.model import (
    NO_EPOCH,
    BackendServer,
    Epoch,
    FleetConfiguration,
    Revision,
    ServerId,
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
    """All published data, with the revision after which to watch for changes.

    Attributes
    ----------
    problem : str
        Reason why the published configuration can't be read; empty if it can be read,
        or if there is none.
    epoch : Epoch
        Epoch of the source that the revision belongs to.
    """

    configuration: FleetConfiguration | None
    servers: tuple[BackendServer, ...]
    revision: Revision
    problem: str = ""
    epoch: Epoch = NO_EPOCH


@dataclass(frozen=True, slots=True)
class SourceChanges:
    """Changes after a revision.

    Attributes
    ----------
    removed : tuple of (ServerId, Revision)
        Descriptions that were deleted, or replaced by ones that can't be read.
    problem : str
        Reason why the newest configuration among the changes can't be read; empty
        otherwise.
    epoch : Epoch
        Epoch of the source that the revision belongs to.
    """

    configuration: FleetConfiguration | None
    servers: tuple[BackendServer, ...]
    removed: tuple[tuple[ServerId, Revision], ...]
    revision: Revision
    problem: str = ""
    epoch: Epoch = NO_EPOCH


class FleetSource(ABC):
    """Source of one fleet's published data that can be read and watched."""

    @abstractmethod
    async def snapshot(self) -> SourceSnapshot:
        """Read all published data.

        Raises
        ------
        SourceError
            If there was no usable answer.
        """

    @abstractmethod
    async def changes(self, after: Revision, seconds: float) -> SourceChanges:
        """Wait up to `seconds` for changes after a revision.

        Raises
        ------
        RevisionExpiredError
            If the changes are no longer kept.
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
