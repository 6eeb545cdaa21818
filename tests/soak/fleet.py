"""Fleet of a soak run: real node processes, and stand-ins for everything else."""

import asyncio
import contextlib
import os
import re
import socket
from pathlib import Path

from tests.relay_fleet import (
    NETWORK,
    WORKER,
    StoreStandIn,
    configuration,
    field,
    route,
)
from tests.soak.host import Host
from tests.soak.proxy import Proxy

__all__ = ["SoakFleet"]

HEARTBEAT_SECONDS = 1.5
START_SECONDS = 30.0
START_SECONDS_PER_HOST = 1.5
"""Further time to start for each host: imports take a second of processor time."""

TEAMS = {"clubs": (0, 0), "press": (40, 40)}
"""Rate and burst of each team; 0 is no limit."""

KEYS_PER_TEAM = 4

NETWORKS = 250
CLAIM_PORT = 8299

PROC_TCP_PORT, PROC_TCP_INODE = 1, 9
"""Columns of /proc/net/tcp with the local address and the number of the socket."""


def _claim_network():
    """Return a listener that keeps other runs away, and a prefix of addresses.

    Concurrent runs on one machine get different prefixes.
    """
    for number in range(NETWORKS):
        prefix = f"127.{NETWORK + WORKER}.{(os.getpid() + number) % NETWORKS}"
        with contextlib.suppress(OSError):
            return socket.create_server((f"{prefix}.253", CLAIM_PORT)), prefix
    raise RuntimeError("other runs use all networks")


def _sockets_of(pid):
    """Numbers of the sockets that a process holds."""
    folder, found = f"/proc/{pid}/fd", set()
    for name in os.listdir(folder):
        with contextlib.suppress(OSError):
            link = os.readlink(f"{folder}/{name}")
            if link.startswith("socket:["):
                found.add(link.removeprefix("socket:[").removesuffix("]"))
    return found


async def _get(ip, port, path):
    """Return head and body of an answer, or None if none comes within a second."""
    with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(ip, port)
            try:
                writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(field(head, "content-length"))
                return head, await reader.readexactly(length)
            finally:
                writer.close()
    return None


class SoakFleet:
    """Hosts, store and configuration of one run.

    Parameters
    ----------
    folder : Path
        Place of settings and logs.
    mutant : str
        Name of the planted fault of the nodes; empty for the real program.
    """

    callers_port, peers_port, readiness_port = 8201, 8202, 8203
    metrics_port, server_port, backend_port, bind_port = 8204, 8205, 8206, 8207
    memory_mb = 120
    body_bytes = 1_000_000
    warmup_seconds = 3.0
    warmup_rate = 8.0
    warmup_overshoot = 1.5
    warmup_slack = 8.0
    evacuation_seconds = 5.0
    revoke_seconds = 5.0
    grace_seconds = 5.0
    drain_seconds = 2.5

    def __init__(self, seed, hosts, folder, record, mutant=""):
        self.seed = seed
        self.folder = folder
        self.record = record
        self.mutant = mutant
        self.program = "tests.soak.mutants" if mutant else "damaskramp.cli.node"
        self._claim, self.prefix = _claim_network()
        self.store = StoreStandIn()
        self.version = 0
        self.swap_service = "front"
        self._withdrawn = set()
        self._sequence = 0
        half = (hosts + 1) // 2
        services = ["front"] * half + ["inner"] * (hosts - half)
        self.hosts = [Host(self, n, service) for n, service in enumerate(services)]

    def hosts_of(self, service):
        """Hosts with the servers of a service."""
        return [host for host in self.hosts if host.service == service]

    def team_rates(self):
        """Rate and burst of each team."""
        return TEAMS

    def keys_of(self, team):
        """Keys of a team that are not withdrawn."""
        keys = [f"key-{team}-{n}" for n in range(KEYS_PER_TEAM)]
        return [key for key in keys if key not in self._withdrawn]

    def usable_keys(self):
        """Pairs of team and key that callers use, withdrawn ones for a while too."""
        return [
            (team, f"key-{team}-{n}") for team in TEAMS for n in range(KEYS_PER_TEAM)
        ]

    def withdraw_key(self):
        """Withdraw a key, unless its team has only one left."""
        for team in TEAMS:
            keys = self.keys_of(team)
            if len(keys) > 1:
                self._withdrawn.add(keys[-1])
                self.publish_configuration()
                self.record.add_notice("key withdrawn", detail=keys[-1])
                return

    def publish_configuration(self):
        """Publish the next version; the route ``/swap/`` changes its service."""
        self.version += 3
        routes = [
            route("front", "/front/"),
            route("front", "/book/", kind="non_idempotent", priority=0),
            route(self.swap_service, "/swap/", priority=1),
            route("inner", "/inner/", public=True),
        ]
        teams = {
            team: {"api-keys": self.keys_of(team), "rate-per-s": rate, "burst": burst}
            for team, (rate, burst) in TEAMS.items()
        }
        document = configuration(self.version, routes, teams)
        document["limits"].update({"max-body-bytes": self.body_bytes})
        document["services"] = {
            name: {
                "health-path": "/health",
                "max-connections": 400,
                "warmup": f"{self.warmup_seconds:g}s",
                "warmup-per-s": self.warmup_rate,
            }
            for name in ("front", "inner")
        }
        self.store.put("op/config", document)
        self.record.add_notice("configuration", detail=self.swap_service)

    def swap(self):
        """Publish a version in which ``/swap/`` goes to the other service."""
        self.swap_service = "inner" if self.swap_service == "front" else "front"
        self.publish_configuration()

    def list_servers(self):
        """Write the entry of each backend server that is up."""
        self._sequence += 1
        for host in self.hosts:
            if host.backend.is_up:
                key = f"servers/{host.backend.id}"
                self.store.put(key, host.entry(self._sequence))

    async def keep_listed(self):
        """Write the entries at the interval of heartbeats, until cancelled."""
        while True:
            self.list_servers()
            for host in self.hosts:
                if not host.backend.is_up:
                    with contextlib.suppress(KeyError):
                        self.store.delete(f"servers/{host.backend.id}")
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def start(self):
        """Start everything, and wait until each node is ready."""
        address = await self.store.start(f"{self.prefix}.250")
        store_host, _, store_port = address.rpartition(":")
        for host in self.hosts:
            proxy = Proxy((host.ip, 8208), (store_host, int(store_port)))
            host.store_proxy = proxy
            for one in (proxy, host.server_proxy, host.peers_proxy):
                await one.start()
            await host.backend.start()
        self.publish_configuration()
        self.list_servers()
        for host in self.hosts:
            host.start_node()
        limit = START_SECONDS + START_SECONDS_PER_HOST * len(self.hosts)
        async with asyncio.timeout(limit):
            for host in self.hosts:
                while not await self.is_ready(host):
                    await asyncio.sleep(0.05)

    async def is_ready(self, host):
        """Whether a node answers that it is ready."""
        answer = await _get(host.ip, self.readiness_port, "/v1/ready")
        return answer is not None and b" 200 " in answer[0].partition(b"\r\n")[0]

    async def read_version(self, host):
        """Version of the configuration that a node states in its metrics, or None."""
        answer = await _get(host.ip, self.metrics_port, "/metrics")
        found = answer and re.search(
            rb"(?m)^damaskramp_configuration_version(?:\{\})? (\S+)", answer[1]
        )
        return float(found[1]) if found else None

    def settings_of(self, host):
        """Text of a node's settings file."""
        return f"""\
[relay]
host = "host-{host.number}"
zone = "{host.zone}"

[listen]
callers = "{host.ip}:{self.callers_port}"
peers = "{host.ip}:{self.peers_port}"
bind_peers = "{host.ip}:{self.bind_port}"
readiness = "{host.ip}:{self.readiness_port}"
metrics = "{host.ip}:{self.metrics_port}"

[backend_server]
backend_service = "{host.service}"
backend_address = "{host.ip}:{self.server_port}"

[platform]
platform_address = "{host.ip}:8208"

[bounds]
revoke_seconds = "{self.revoke_seconds:g}s"
grace_seconds = "{self.grace_seconds:g}s"
retry_ratio = 0.05
retry_window = "10s"
retry_allowance = 10
memory_mb = {self.memory_mb}
warmup_overshoot = {self.warmup_overshoot}
warmup_slack = {self.warmup_slack}
evacuation_seconds = "{self.evacuation_seconds:g}s"
"""

    def ports_finder(self, numbers):
        """Return a function that picks the client ports that nodes of hosts hold.

        All connections on loopback come from one address, so the port tells whose
        connection it is.
        """

        def find(ports):
            sockets = set()
            for number in numbers:
                process = self.hosts[number].process
                if process is not None:
                    with contextlib.suppress(OSError):
                        sockets |= _sockets_of(process.pid)
            found = set()
            for line in Path("/proc/net/tcp").read_text("ascii").splitlines()[1:]:
                columns = line.split()
                if columns[PROC_TCP_INODE] in sockets:
                    found.add(int(columns[PROC_TCP_PORT].rpartition(":")[2], 16))
            return ports & found

        return find

    def stop(self):
        """End all processes and stand-ins."""
        for host in self.hosts:
            host.stop()
        self._claim.close()
