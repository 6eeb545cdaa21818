"""Reader of one JSON document from the admin endpoints of many nodes."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

import orjson
from expression import Result

from damaskramp.http import HttpClient, HttpRequest, TransportError
from damaskramp.sources import HttpHostList, ListedHost

__all__ = ["FleetReader", "NodeAnswer", "Target"]

PARALLEL_READS = 64

MAX_EXCERPT_CHARACTERS = 100
"""Maximum length of the excerpt that is shown of an answer that is not JSON."""


@dataclass(frozen=True, slots=True)
class Target:
    """A node to read.

    Attributes
    ----------
    host, zone : str
        Names from the host list of the platform. For a node that was given on the
        command line, `host` is its address and `zone` is empty.
    admin : str
        ``IP:PORT`` of the node's admin endpoint.
    """

    host: str
    zone: str
    admin: str


@dataclass(frozen=True, slots=True)
class NodeAnswer:
    """Answer of a node, or the reason why there is none.

    Attributes
    ----------
    document : dict or None
        JSON document; None if the node could not be read.
    problem : str
        Reason why the node could not be read; empty if it was read.
    """

    target: Target
    document: dict | None
    problem: str = ""


class FleetReader:
    """Reader that queries nodes in parallel.

    Parameters
    ----------
    timeout : float
        Timeout for each node in seconds.
    """

    def __init__(self, timeout: float) -> None:
        self._timeout = timeout

    async def list_targets(
        self, platform: str, zone: str
    ) -> Result[list[Target], TransportError]:
        """Return the nodes in the platform's host list; an empty `zone` means all."""
        hosts = await HttpHostList(_client(platform)).read()
        return hosts.map(lambda listed: _targets(listed, zone))

    async def read(self, targets: Sequence[Target], path: str) -> list[NodeAnswer]:
        """Read `path` from each node; the answers are in the order of `targets`."""
        semaphore = asyncio.Semaphore(PARALLEL_READS)
        return await asyncio.gather(
            *(self._read_node(t, path, semaphore) for t in targets)
        )

    async def _read_node(
        self, target: Target, path: str, semaphore: asyncio.Semaphore
    ) -> NodeAnswer:
        async with semaphore:
            client = _client(target.admin)
            answer = await client.request(HttpRequest("GET", path), self._timeout)
            client.close()
        if answer.is_error():
            return NodeAnswer(target, None, answer.error.kind.value)
        try:
            return NodeAnswer(target, orjson.loads(answer.ok.body))
        except orjson.JSONDecodeError:
            excerpt = answer.ok.body.decode("utf-8", "replace").partition("\n")[0]
            problem = (
                f"status {answer.ok.status}, not JSON: "
                f"{excerpt[:MAX_EXCERPT_CHARACTERS]}"
            )
            return NodeAnswer(target, None, problem)


def _targets(hosts: Sequence[ListedHost], zone: str) -> list[Target]:
    return [
        Target(listed.host, listed.zone, listed.admin)
        for listed in hosts
        if listed.admin and zone in ("", listed.zone)
    ]


def _client(address: str) -> HttpClient:
    host, _, port = address.rpartition(":")
    return HttpClient(host.strip("[]"), int(port))
