"""Client that reads the platform's list of live and leaving hosts.

``GET /hosts`` answers 200 with a JSON array of objects with the fields of
`ListedHost`. The list lags behind the actual state of the hosts.
"""

from abc import ABC, abstractmethod
from typing import Annotated, Literal

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError

from damaskramp.http import (
    HttpClient,
    HttpRequest,
    HttpResponse,
    TransportError,
    TransportErrorKind,
)

__all__ = ["HostList", "HttpHostList", "ListedHost"]

RESPONSE_TIMEOUT_SECONDS = 5.0
"""Timeout of a read of the list."""


class ListedHost(BaseModel):
    """Entry of one host in the platform's list.

    Attributes
    ----------
    peer : str
        ``IP:PORT`` on which the node of the host listens for other nodes.
    service : str
        Service of the host's backend server, empty if it has none.
    admin : str
        ``IP:PORT`` of the node's endpoint for operators, empty if not published.
    state : str
        ``live`` or ``leaving``.
    """

    model_config = ConfigDict(extra="ignore", frozen=True)

    host: Annotated[str, Field(min_length=1)]
    zone: Annotated[str, Field(min_length=1)]
    peer: Annotated[str, Field(pattern=r"^.+:\d+$")]
    service: str = ""
    admin: str = ""
    state: Literal["live", "leaving"] = "live"


HOSTS_ADAPTER = TypeAdapter(tuple[ListedHost, ...])


class HostList(ABC):
    """Interface of a list of hosts that can be read."""

    @abstractmethod
    async def read(self) -> Result[tuple[ListedHost, ...], TransportError]:
        """Read the whole list of hosts."""


class HttpHostList(HostList):
    """List of hosts of a service that is reached over HTTP.

    Parameters
    ----------
    client : HttpClient
        Client of the platform's address.
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def read(self) -> Result[tuple[ListedHost, ...], TransportError]:
        """Read the whole list of hosts."""
        request = HttpRequest("GET", "/hosts")
        answer = await self._client.request(request, RESPONSE_TIMEOUT_SECONDS)
        return answer.bind(_parse_hosts)


def _parse_hosts(
    response: HttpResponse,
) -> Result[tuple[ListedHost, ...], TransportError]:
    detail = f"status {response.status}"
    if response.status == 200:
        try:
            return Ok(HOSTS_ADAPTER.validate_json(response.body))
        except ValidationError as error:
            detail = str(error)
    return Error(TransportError(TransportErrorKind.BROKEN, True, detail))
