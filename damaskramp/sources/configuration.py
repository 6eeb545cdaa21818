"""Client that reads and watches values of the platform's configuration service.

``GET /config/NAME`` answers 200 with the value and its revision in the header
``config-revision``, or 404 if nothing is published. With
``?after=REVISION&wait=SECONDS`` it answers once the revision is greater, or 304 when
the wait time is over.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from expression import Error, Ok, Result

from damaskramp.http import (
    HttpClient,
    HttpRequest,
    HttpResponse,
    TransportError,
    TransportErrorKind,
)

__all__ = ["ConfigurationSource", "HttpConfigurationSource", "PublishedValue"]

RESPONSE_TIMEOUT_SECONDS = 5.0
"""Timeout of a read, added to the wait time of a watch."""


@dataclass(frozen=True, slots=True)
class PublishedValue:
    """Configuration value with its revision."""

    revision: int
    value: bytes


class ConfigurationSource(ABC):
    """Interface of a configuration value that can be read and watched."""

    @abstractmethod
    async def read(self) -> Result[PublishedValue | None, TransportError]:
        """Read the value; None if nothing is published."""

    @abstractmethod
    async def watch(
        self, after: int, seconds: float
    ) -> Result[PublishedValue | None, TransportError]:
        """Wait up to `seconds` for a revision greater than `after`; None after that."""


class HttpConfigurationSource(ConfigurationSource):
    """Configuration value of a service that is reached over HTTP.

    Parameters
    ----------
    client : HttpClient
        Client of the platform's address.
    name : str
        Name of the value.
    """

    def __init__(self, client: HttpClient, name: str) -> None:
        self._client = client
        self._path = f"/config/{name}"

    async def read(self) -> Result[PublishedValue | None, TransportError]:
        """Read the value; None if nothing is published."""
        return await self._get(self._path, RESPONSE_TIMEOUT_SECONDS)

    async def watch(
        self, after: int, seconds: float
    ) -> Result[PublishedValue | None, TransportError]:
        """Wait up to `seconds` for a revision greater than `after`; None after that."""
        target = f"{self._path}?after={after}&wait={seconds:g}"
        return await self._get(target, seconds + RESPONSE_TIMEOUT_SECONDS)

    async def _get(
        self, target: str, timeout: float
    ) -> Result[PublishedValue | None, TransportError]:
        answer = await self._client.request(HttpRequest("GET", target), timeout)
        return answer.bind(_parse_published_value)


def _parse_published_value(
    response: HttpResponse,
) -> Result[PublishedValue | None, TransportError]:
    if response.status in (304, 404):
        return Ok(None)
    revision = response.value(b"config-revision") or b""
    if response.status != 200 or not revision.isdigit():
        detail = f"status {response.status}, revision {revision!r}"
        return Error(TransportError(TransportErrorKind.BROKEN, True, detail))
    return Ok(PublishedValue(int(revision), response.body))
