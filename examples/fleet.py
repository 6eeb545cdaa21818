"""A small fleet of real processes on loopback, for demonstrations and tests.

Each host has its own address in 127.0.0.0/8. The address is derived from the process
id of the process that starts the fleet, so that fleets of different processes do not
share addresses.
"""

import os
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path

import orjson

from damaskramp.bundle import SigningKey, parse_bundle_source, sign_bundle

__all__ = ["Fleet", "HostSpec", "Process"]

HTTP_PORT = 8080
PEER_PORT = 9090
ADMIN_PORT = 7070
BACKEND_PORT = 6060
PLATFORM_PORT = 5050
START_TIMEOUT_SECONDS = 30.0
SIGNING_SEED = bytes(range(32))


@dataclass(frozen=True)
class HostSpec:
    """A host of the fleet and the behaviour of its backend server.

    Attributes
    ----------
    backend : dict of str to object
        Flags of the stand-in backend server.
    calls : tuple of str
        Calls that each request to the backend server makes.
    settings : str
        Additional TOML for the node's settings.
    external : bool
        Whether the backend server is run outside the fleet.
    """

    host: str
    zone: str
    service: str
    backend: dict[str, object] = field(default_factory=dict)
    calls: tuple[str, ...] = ()
    settings: str = ""
    external: bool = False


class Process:
    """A started program with its log file."""

    def __init__(self, name: str, arguments: list[str], log: Path) -> None:
        self._name = name
        self._log = log
        with log.open("ab") as sink:
            self._popen = subprocess.Popen(
                arguments, stdin=subprocess.DEVNULL, stdout=sink, stderr=sink
            )

    @property
    def name(self) -> str:
        """Name within the fleet."""
        return self._name

    @property
    def pid(self) -> int:
        """Process id."""
        return self._popen.pid

    @property
    def log_text(self) -> str:
        """Output of the program so far."""
        return self._log.read_text(errors="replace")

    @property
    def running(self) -> bool:
        """Whether the program is still running."""
        return self._popen.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the program is running."""
        if self.running:
            self._popen.send_signal(number)

    def wait(self, seconds: float = 30.0) -> int:
        """Wait until the program exits and return its exit code."""
        return self._popen.wait(seconds)

    def stop(self, seconds: float = 30.0) -> int:
        """Terminate the program gracefully and return its exit code."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        try:
            return self.wait(seconds)
        except subprocess.TimeoutExpired:
            self._popen.kill()
            return self.wait()

    def kill(self) -> None:
        """Kill the program."""
        if self.running:
            self._popen.kill()
        self.wait()


class Fleet:
    """Nodes, stand-in backend servers and a stand-in platform.

    Parameters
    ----------
    directory : Path
        Directory for settings and logs.
    hosts : list of HostSpec
        Hosts in the order of their addresses, lowest first.
    bundle_source : str
        TOML source of the first bundle.
    hosts_lag : float
        Lag of the platform's host list in seconds.
    hosts_poll_seconds : float
        Interval at which each node polls the host list, in seconds.
    """

    def __init__(
        self,
        directory: Path,
        hosts: list[HostSpec],
        bundle_source: str,
        hosts_lag: float = 0.0,
        hosts_poll_seconds: float = 0.5,
    ) -> None:
        self._directory = directory
        self._hosts = {spec.host: spec for spec in hosts}
        self._bundle_source = bundle_source
        self._hosts_lag = hosts_lag
        self._hosts_poll_seconds = hosts_poll_seconds
        self._key = SigningKey(SIGNING_SEED)
        self._processes: dict[str, Process] = {}
        number = os.getpid()
        self._prefix = f"127.{64 + (number >> 8) % 128}.{number % 256}"
        self._addresses = {
            spec.host: f"{self._prefix}.{position}"
            for position, spec in enumerate(hosts, start=10)
        }
        self._listed = {spec.host: "live" for spec in hosts}

    @property
    def key(self) -> SigningKey:
        """Key that signs the fleet's bundles."""
        return self._key

    @property
    def hosts(self) -> dict[str, HostSpec]:
        """Hosts by name."""
        return self._hosts

    @property
    def platform(self) -> str:
        """``IP:PORT`` of the platform."""
        return f"{self._prefix}.2:{PLATFORM_PORT}"

    @property
    def processes(self) -> dict[str, Process]:
        """Started programs: ``platform``, ``node HOST``, ``backend HOST``."""
        return self._processes

    def http(self, host: str) -> str:
        """Return ``IP:PORT`` at which callers reach a node."""
        return f"{self._addresses[host]}:{HTTP_PORT}"

    def peer(self, host: str) -> str:
        """Return ``IP:PORT`` at which other nodes reach a node."""
        return f"{self._addresses[host]}:{PEER_PORT}"

    def admin(self, host: str) -> str:
        """Return ``IP:PORT`` of the admin endpoint of a node."""
        return f"{self._addresses[host]}:{ADMIN_PORT}"

    def backend(self, host: str) -> str:
        """Return ``IP:PORT`` of a backend server."""
        return f"{self._addresses[host]}:{BACKEND_PORT}"

    def node(self, host: str) -> Process:
        """Return the node process of a host."""
        return self._processes[f"node {host}"]

    def backend_process(self, host: str) -> Process:
        """Return the backend server process of a host."""
        return self._processes[f"backend {host}"]

    def __enter__(self) -> "Fleet":
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *exc: object) -> None:
        self.stop()

    def start(self) -> None:
        """Start all programs and wait until every node is serving."""
        self.start_platform()
        self.publish(self._bundle_source)
        self.publish_hosts()
        for host in self._hosts:
            if not self._hosts[host].external:
                self.start_backend(host)
            self.start_node(host)
        self.wait_until_serving()

    def stop(self) -> None:
        """Terminate every program that was started."""
        for process in self._processes.values():
            process.send(signal.SIGCONT)
            process.send(signal.SIGTERM)
        end = time.monotonic() + 5.0
        for process in self._processes.values():
            try:
                process.wait(max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()

    def start_platform(self) -> None:
        """Start the stand-in platform."""
        arguments = ["--listen", self.platform, f"--hosts_lag={self._hosts_lag}"]
        self._run_module("platform", "examples.platform_server", arguments)
        self._wait_for(f"http://{self.platform}/stats")

    def start_backend(self, host: str) -> None:
        """Start the stand-in backend server of a host."""
        spec = self._hosts[host]
        arguments = [
            f"--service={spec.service}",
            f"--host={host}",
            f"--listen={self.backend(host)}",
            f"--node={self.http(host)}",
        ]
        arguments += [f"--{name}={value}" for name, value in spec.backend.items()]
        arguments += [f"--call={call}" for call in spec.calls]
        self._run_module(f"backend {host}", "examples.backend_server", arguments)

    def start_node(self, host: str) -> None:
        """Start the node of a host."""
        path = self._directory / f"{host}.toml"
        path.write_text(self._node_settings(self._hosts[host]))
        command = str(Path(sys.executable).with_name("damaskramp-node"))
        self._start(f"node {host}", [command, f"--settings={path}"])

    def freeze(self, host: str) -> None:
        """Suspend a node's process with SIGSTOP."""
        self.node(host).send(signal.SIGSTOP)

    def wake(self, host: str) -> None:
        """Resume a suspended node process with SIGCONT."""
        self.node(host).send(signal.SIGCONT)

    def wait_until_serving(self, hosts: list[str] | None = None) -> None:
        """Wait until each node has a bundle and knows every listed host."""
        for host in hosts or self._hosts:
            end = time.monotonic() + START_TIMEOUT_SECONDS
            while not self._serves(host):
                if time.monotonic() > end or not self.node(host).running:
                    raise TimeoutError(f"{host}: {self.node(host).log_text}")
                time.sleep(0.05)

    def status(self, host: str) -> dict:
        """Return the status document of a node."""
        return orjson.loads(_get(f"http://{self.admin(host)}/status"))

    def records(self, host: str) -> dict:
        """Return the records of a backend server."""
        return orjson.loads(_get(f"http://{self.backend(host)}/_standin/records"))

    def tune(self, host: str, slow: float) -> None:
        """Make a backend server `slow` times slower."""
        url = f"http://{self.backend(host)}/_standin/tune?slow={slow}"
        _send("POST", url, b"")

    def publish(self, bundle_source: str) -> None:
        """Sign a bundle source and publish it on the platform."""
        parsed = parse_bundle_source(bundle_source, "bundle.toml")
        if parsed.is_error():
            raise ValueError(str(parsed.error))
        self.publish_signed(sign_bundle(parsed.ok, self._key).to_json())

    def publish_signed(self, data: bytes) -> None:
        """Publish the signed form of a bundle on the platform."""
        _send("PUT", f"http://{self.platform}/config/bundle", data)

    def publish_hosts(self, **states: str) -> None:
        """Publish the host list on the platform; ``host="leaving"`` changes a state."""
        for host, state in states.items():
            self._listed[host.replace("_", "-")] = state
        listed = [
            {
                "host": spec.host,
                "zone": spec.zone,
                "peer": self.peer(spec.host),
                "admin": self.admin(spec.host),
                "service": spec.service,
                "state": self._listed[spec.host],
            }
            for spec in self._hosts.values()
            if self._listed[spec.host] != "gone"
        ]
        _send("PUT", f"http://{self.platform}/hosts", orjson.dumps(listed))

    def _serves(self, host: str) -> bool:
        try:
            status = self.status(host)
        except (OSError, ValueError):
            return False
        listed = sum(state != "gone" for state in self._listed.values())
        if status["state"] != "serving" or not status["quota"]["ready"]:
            return False
        return len(status["members"]) >= listed

    def _node_settings(self, spec: HostSpec) -> str:
        return f"""\
[node]
host = "{spec.host}"
zone = "{spec.zone}"

[listen]
http = "{self.http(spec.host)}"
peer = "{self.peer(spec.host)}"
admin = "{self.admin(spec.host)}"

[backend]
service = "{spec.service}"
address = "{self.backend(spec.host)}"

[platform]
address = "{self.platform}"
hosts_poll_seconds = {self._hosts_poll_seconds}

[trust]
public_keys = ["{self._key.public_hex}"]

{_membership(spec.settings)}
{spec.settings}
"""

    def _run_module(self, name: str, module: str, arguments: list[str]) -> None:
        self._start(name, [sys.executable, "-m", module, *arguments])

    def _start(self, name: str, arguments: list[str]) -> None:
        log = self._directory / f"{name.replace(' ', '-')}.log"
        self._processes[name] = Process(name, arguments, log)

    def _wait_for(self, url: str) -> None:
        end = time.monotonic() + START_TIMEOUT_SECONDS
        while True:
            try:
                _get(url)
                return
            except OSError:
                if time.monotonic() > end:
                    raise
                time.sleep(0.05)


def _membership(settings: str) -> str:
    """Return short times, so that small fleets have owners soon after their start."""
    if "[membership]" in settings:
        return ""
    return "[membership]\nperiod_seconds = 0.2\nsilence_seconds = 3.2"


def _get(url: str) -> bytes:
    return _send("GET", url, None)


def _send(method: str, url: str, body: bytes | None) -> bytes:
    request = urllib.request.Request(url, data=body, method=method)
    with urllib.request.urlopen(request, timeout=10.0) as response:
        return response.read()
