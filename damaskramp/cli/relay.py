"""Start and stop of a relay node, which uses the users' platform."""

import asyncio
import gc
import logging
import os
import signal
import sys
from dataclasses import replace
from pathlib import Path

import uvloop
from expression import Ok, Result

from damaskramp.cli.common import ExitCode, fail
from damaskramp.core import Counters, Findings, Place
from damaskramp.platform import (
    PLATFORM_HEADERS,
    READINESS_PATH,
    STATED_TERMS_VARIABLE,
    DecodeError,
    MetadataStore,
    decode_configuration,
    read_stated_terms,
)
from damaskramp.relay.decision_log import NonBlockingHandler
from damaskramp.relay.node import RelayNode
from damaskramp.relay.settings import RelaySettings, load_relay_settings

__all__ = ["run_relay"]

SETTINGS_POLL_SECONDS = 1.0
"""Interval of checks of the settings file, as it may change without a signal."""

GC_THRESHOLD_OBJECTS = 20_000
"""Objects allocated between two garbage collections: those of some hundred requests.

Few objects of a request are in reference cycles, so frequent runs would free little.
"""

LOGGER = logging.getLogger(__name__)


def run_relay(path: str, check_only: bool, configuration: str) -> int:
    """Run a relay node until it is stopped, or check its files; return the exit code.

    Parameters
    ----------
    path : str
        Path of the settings file.
    check_only : bool
        Whether to check the files without running the node.
    configuration : str
        Path of a published configuration to check; empty for none.
    """
    changed_at = _change_time(path)
    loaded = _load_settings(path)
    if loaded.is_error():
        return fail(loaded.error)
    if check_only:
        return _check_configuration(configuration) if configuration else ExitCode.OK
    # Imported objects live as long as the process; the collector need not scan them.
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_OBJECTS, 20, 50)
    counters = Counters()
    root = logging.getLogger()
    root.handlers[:] = [NonBlockingHandler(sys.stdout.fileno(), counters)]
    root.setLevel(logging.INFO)
    return uvloop.run(_serve(loaded.ok, path, changed_at, counters))


def _load_settings(path: str) -> Result[RelaySettings, Findings]:
    """Read the settings file; what it leaves out may be stated by the platform."""
    loaded = load_relay_settings(path)
    if loaded.is_error():
        return loaded
    findings = Findings()
    terms = read_stated_terms(os.environ.get(STATED_TERMS_VARIABLE, ""), findings)
    if findings:
        print(findings, file=sys.stderr)
    missing = {
        name: value
        for name, value in terms.items()
        if getattr(loaded.ok, name) in (None, "", {})
    }
    return Ok(replace(loaded.ok, **missing))


def _check_configuration(path: str) -> int:
    """Print what a node would reject or not use as published."""
    findings = Findings()
    try:
        findings.extend(decode_configuration(Path(path).read_bytes()).findings)
    except (OSError, DecodeError) as error:
        findings.error(Place(path), str(error))
    if findings.has_errors:
        return fail(findings)
    if findings:
        print(findings)
    return ExitCode.OK


async def _serve(
    settings: RelaySettings, path: str, changed_at: float, counters: Counters
) -> int:
    source = MetadataStore(
        settings.platform_address, counters, settings.evacuation_seconds is not None
    )
    node = RelayNode(settings, source, PLATFORM_HEADERS, READINESS_PATH, counters)
    try:
        await node.start()
    except OSError as error:
        print(f"{Place(path, 'listen')}: {error}", file=sys.stderr)
        return ExitCode.FAILED
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    reader = _SettingsReloader(path, node, changed_at)
    loop.add_signal_handler(signal.SIGHUP, reader.read)
    watch = loop.create_task(reader.run())
    await stop.wait()
    watch.cancel()
    return ExitCode.OK if await node.stop() else ExitCode.FAILED


class _SettingsReloader:
    """Reloader of the settings file, which runs when the file has changed.

    Parameters
    ----------
    changed_at : float
        Time of the last change before the file was first read. It may have changed
        again since, while no signal was handled.
    """

    def __init__(self, path: str, node: RelayNode, changed_at: float) -> None:
        self._path = path
        self._node = node
        self._changed_at = changed_at

    async def run(self) -> None:
        """Check the file periodically until cancelled."""
        while True:
            await asyncio.sleep(SETTINGS_POLL_SECONDS)
            if _change_time(self._path) != self._changed_at:
                self.read()

    def read(self) -> None:
        """Read the file and apply it; an invalid file leaves the settings unchanged."""
        self._changed_at = _change_time(self._path)
        loaded = _load_settings(self._path)
        if loaded.is_error():
            LOGGER.warning("settings kept", extra={"findings": str(loaded.error)})
            return
        self._node.reload(loaded.ok)


def _change_time(path: str) -> float:
    """Time of the last change of a file in Unix seconds; 0 if there is none."""
    try:
        return os.stat(path).st_mtime
    except OSError:
        return 0.0
