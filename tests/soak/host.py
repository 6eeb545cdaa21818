"""One host of a soak run: its node process, backend server, proxies and addresses."""

import asyncio
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

from tests.process_usage import process_usage
from tests.soak.proxy import Proxy
from tests.soak.servers import SLOTS, Backend

__all__ = ["ROOT", "Host"]

ROOT = Path(__file__).resolve().parent.parent.parent
ZONES = 3


class Host:
    """One host: its addresses, its node process and its backend server."""

    def __init__(self, fleet, number, service):
        self._fleet = fleet
        self._process = None
        self._log = fleet.folder / f"host-{number}.log"
        self.number = number
        self.service = service
        self.zone = f"z{number % ZONES}"
        self.ip = f"{fleet.prefix}.{number + 1}"
        self.backend = Backend(fleet, self)
        server_address = (self.ip, fleet.backend_port)
        self.server_proxy = Proxy((self.ip, fleet.server_port), server_address)
        self.peers_proxy = Proxy(
            (self.ip, fleet.peers_port), (self.ip, fleet.bind_port)
        )
        self.store_proxy = None
        self.crowds = []
        self.starts = []
        self.expected_end = False
        self.peak_mb = 0.0
        self.peak_descriptors = 0
        self.unread_pipe = None

    @property
    def process(self):
        """Process of the node; None before its first start."""
        return self._process

    @property
    def is_running(self):
        """Whether the node's process lives."""
        return self._process is not None and self._process.poll() is None

    @property
    def log_text(self):
        """What the node has logged."""
        return self._log.read_text("utf-8", "replace") if self._log.exists() else ""

    def start_node(self, unread_log=False):
        """Start the node's process.

        Parameters
        ----------
        unread_log : bool
            Whether the standard output is a pipe that nobody reads.
        """
        fleet = self._fleet
        path = fleet.folder / f"host-{self.number}.toml"
        path.write_text(fleet.settings_of(self), encoding="utf-8")
        command = [sys.executable, "-m", fleet.program, f"--settings={path}"]
        if fleet.mutant:
            command.append(f"--mutant={fleet.mutant}")
        self._close_pipe()
        with self._log.open("ab") as log:
            output = log
            if unread_log:
                self.unread_pipe, output = os.pipe()
            self._process = subprocess.Popen(
                command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=output, stderr=log
            )
            if unread_log:
                os.close(output)
        self.expected_end = False
        self.starts.append(fleet.record.now)
        fleet.record.add_notice("node started", self.number)

    def signal(self, number):
        """Send a signal to the node's process, if it lives."""
        if self.is_running:
            self._process.send_signal(number)

    async def end_node(self, number, seconds):
        """End the process by a signal; kill it if it still lives after some seconds.

        Returns whether it ended before.
        """
        self.expected_end = True
        self.signal(number)
        limit = time.monotonic() + seconds
        while self.is_running and time.monotonic() < limit:
            await asyncio.sleep(0.02)
        overran = self.is_running
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()
        return not overran

    def measure(self):
        """Update the peaks of resident memory and of open descriptors."""
        if not self.is_running:
            return
        usage = process_usage(self._process.pid)
        if usage is not None:
            resident_mb, descriptors = usage
            self.peak_mb = max(self.peak_mb, resident_mb)
            self.peak_descriptors = max(self.peak_descriptors, descriptors)

    def entry(self, sequence):
        """Description of the backend server in the store."""
        left = max(0.0, self.backend.cold_until - time.monotonic())
        return {
            "service": self.service,
            "address": f"{self.ip}:{self._fleet.server_port}",
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": "draining" if self.backend.is_leaving else "ready",
            "warmup-left": f"{left * 1000:.0f}ms",
            "sequence": sequence,
            "born": self.backend.born,
        }

    def stop(self):
        """End everything on this host."""
        for crowd in self.crowds:
            crowd.stop()
        if self.is_running:
            self.signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()
        self._close_pipe()
        self.backend.crash()
        for proxy in (self.server_proxy, self.peers_proxy, self.store_proxy):
            if proxy is not None:
                proxy.stop()

    def _close_pipe(self):
        if self.unread_pipe is not None:
            os.close(self.unread_pipe)
            self.unread_pipe = None
