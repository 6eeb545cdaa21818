"""Reads one JSON document from the operators' endpoint of many nodes."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

import orjson
from expression import Result

from damaskramp.http import HttpClient, HttpRequest, TransportError
from damaskramp.sources import HttpHostList, ListedHost

__all__ = ["FleetReader", "NodeAnswer", "Target"]

PARALLEL_READS = 64

SAID_CHARACTERS = 100
"""Of an answer that can't be read, what is shown."""


@dataclass(frozen=True, slots=True)
class Target:
    """A node to read.

    Attributes
    ----------
    host, zone : str
        As the platform lists them; the address stands for the host where the
        node was named on the command line.
    admin : str
        ``IP:PORT`` of the operators' endpoint.
    """

    host: str
    zone: str
    admin: str


@dataclass(frozen=True, slots=True)
class NodeAnswer:
    """What a node answered.

    Attributes
    ----------
    document : dict or None
        None where the node could not be read.
    problem : str
        Why it could not be read.
    """

    target: Target
    document: dict | None
    problem: str = ""


class FleetReader:
    """Reads nodes in parallel.

    Parameters
    ----------
    timeout : float
        Seconds for each node.
    """

    def __init__(self, timeout: float) -> None:
        self._timeout = timeout

    async def listed(
        self, platform: str, zone: str
    ) -> Result[list[Target], TransportError]:
        """Nodes of the platform's host list, those of one zone where named."""
        hosts = await HttpHostList(_client(platform)).read()
        return hosts.map(lambda listed: _targets(listed, zone))

    async def read(self, targets: Sequence[Target], path: str) -> list[NodeAnswer]:
        """Read `path` of each node, in the order given."""
        gate = asyncio.Semaphore(PARALLEL_READS)
        return await asyncio.gather(*(self._one(t, path, gate) for t in targets))

    async def _one(
        self, target: Target, path: str, gate: asyncio.Semaphore
    ) -> NodeAnswer:
        async with gate:
            client = _client(target.admin)
            answer = await client.request(HttpRequest("GET", path), self._timeout)
            client.close()
        if answer.is_error():
            return NodeAnswer(target, None, answer.error.kind.value)
        try:
            return NodeAnswer(target, orjson.loads(answer.ok.body))
        except orjson.JSONDecodeError:
            said = answer.ok.body.decode("utf-8", "replace").partition("\n")[0]
            problem = f"status {answer.ok.status}, not JSON: {said[:SAID_CHARACTERS]}"
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
