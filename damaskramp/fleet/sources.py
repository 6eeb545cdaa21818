"""Where the fleet's configuration and backend servers are published."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from damaskramp.fleet.model import (
    BackendServer,
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
    """The source no longer has the changes asked for; read a snapshot."""


@dataclass(frozen=True, slots=True)
class SourceSnapshot:
    """Everything that is published, with the revision to follow from.

    Attributes
    ----------
    problem : str
        Why the published configuration can't be read; empty where it can, or where
        there is none.
    """

    configuration: FleetConfiguration | None
    servers: tuple[BackendServer, ...]
    revision: Revision
    problem: str = ""


@dataclass(frozen=True, slots=True)
class SourceChanges:
    """What changed after a revision.

    Attributes
    ----------
    removed : tuple of (ServerId, Revision)
        Descriptions that were deleted, or replaced by ones that can't be read.
    problem : str
        Why the newest configuration among the changes can't be read; empty otherwise.
    """

    configuration: FleetConfiguration | None
    servers: tuple[BackendServer, ...]
    removed: tuple[tuple[ServerId, Revision], ...]
    revision: Revision
    problem: str = ""


class FleetSource(ABC):
    """Readable and watchable publication of one fleet."""

    @abstractmethod
    async def snapshot(self) -> SourceSnapshot:
        """Read everything.

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
        """Read a configuration that another host handed on.

        Raises
        ------
        SourceError
            If the document can't be read.
        """
