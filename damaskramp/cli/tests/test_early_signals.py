"""Signals and changes of the settings while a node starts."""

import asyncio
import errno
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

from damaskramp.cli import relay
from damaskramp.cli.relay import _change_time, _SettingsReloader
from damaskramp.testing import LoopTestCase

ROOT = Path(__file__).resolve().parents[3]
START_SECONDS = 20.0
LIVES_SECONDS = 0.3


def open_when_read(path, seconds):
    """Open a named pipe for writing as soon as a process reads it."""
    end = time.monotonic() + seconds
    while True:
        try:
            return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
        except OSError as error:
            if error.errno != errno.ENXIO or time.monotonic() > end:
                raise
            time.sleep(0.005)


class TestEarlySignals(LoopTestCase):
    def test_hangup_does_not_end_a_node_that_reads_its_settings(self):
        """Guards against a process that ends by a SIGHUP soon after its start.

        The settings are a named pipe, so that the process stops while it reads them.
        """
        with tempfile.TemporaryDirectory() as folder:
            path = f"{folder}/settings.toml"
            os.mkfifo(path)
            process = subprocess.Popen(
                [sys.executable, "-m", "damaskramp.cli.node", f"--settings={path}"],
                cwd=ROOT,
                stdout=subprocess.DEVNULL,
                stderr=subprocess.DEVNULL,
            )
            pipe = None
            try:
                pipe = open_when_read(path, START_SECONDS)
                process.send_signal(signal.SIGHUP)
                ended = self.ends(process)
            finally:
                if pipe is not None:
                    os.close(pipe)
                process.kill()
                process.wait()
        self.assertFalse(ended)

    def ends(self, process):
        try:
            process.wait(LIVES_SECONDS)
        except subprocess.TimeoutExpired:
            return False
        return True

    def test_settings_that_change_before_the_node_listens_are_read(self):
        """Nothing tells of such a change, as the signal was ignored."""

        async def run():
            with tempfile.TemporaryDirectory() as folder:
                path = Path(folder) / "settings.toml"
                path.write_text("old")
                os.utime(path, (1000, 1000))
                changed_at = _change_time(str(path))
                path.write_text("new")
                read = asyncio.Event()
                reloader = _SettingsReloader(str(path), SimpleNamespace(), changed_at)
                with (
                    mock.patch.object(relay, "SETTINGS_POLL_SECONDS", 0.01),
                    mock.patch.object(reloader, "read", read.set),
                ):
                    task = asyncio.ensure_future(reloader.run())
                    async with asyncio.timeout(START_SECONDS):
                        await read.wait()
                    task.cancel()

        self.run_loop(run())
