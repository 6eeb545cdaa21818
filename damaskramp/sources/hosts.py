"""The platform's list of live and leaving hosts, which lags.

``GET /hosts`` answers 200 with a JSON array of objects with the fields of
`ListedHost`.
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

ANSWER_SECONDS = 5.0


class ListedHost(BaseModel):
    """One host as the platform lists it.

    Attributes
    ----------
    peer : str
        ``IP:PORT`` where its node listens for other nodes.
    service : str
        Service of its backend server, empty where it has none.
    admin : str
        ``IP:PORT`` of its operators' endpoint, empty where not published.
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


HOSTS = TypeAdapter(tuple[ListedHost, ...])


class HostList(ABC):
    """Readable list of hosts."""

    @abstractmethod
    async def read(self) -> Result[tuple[ListedHost, ...], TransportError]:
        """Read the whole list."""


class HttpHostList(HostList):
    """List of hosts behind HTTP."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def read(self) -> Result[tuple[ListedHost, ...], TransportError]:
        """Read the whole list."""
        request = HttpRequest("GET", "/hosts")
        answer = await self._client.request(request, ANSWER_SECONDS)
        return answer.bind(_hosts)


def _hosts(response: HttpResponse) -> Result[tuple[ListedHost, ...], TransportError]:
    detail = f"status {response.status}"
    if response.status == 200:
        try:
            return Ok(HOSTS.validate_json(response.body))
        except ValidationError as error:
            detail = str(error)
    return Error(TransportError(TransportErrorKind.BROKEN, True, detail))
