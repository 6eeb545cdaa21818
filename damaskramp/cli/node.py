"""``damaskramp-node``: the process on each backend server host."""

# isort: off
# First of all, as the other imports take a tenth of a second.
from damaskramp.cli.early_signals import restore_hangup

# isort: on
import asyncio
import logging
import signal
import sys
import tomllib
from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING

from absl import flags

from damaskramp.cli.common import ExitCode, fail, run_program, set_up_logs
from damaskramp.core.findings import FindingsError, Place
from damaskramp.relay.settings import is_relay_document

if TYPE_CHECKING:
    from damaskramp.config import NodeSettings

__all__ = ["main"]

USAGE = """
damaskramp-node --settings=FILE
damaskramp-node --settings=FILE --check [--configuration=FILE]

Accepts calls from callers and from its own backend server, admits them, and routes
them to the node beside the chosen backend server. SIGTERM or SIGINT stops it once
running calls have ended. A settings file with a table [relay] starts a node that
reads its configuration from the users' platform; SIGHUP reloads the file.

--check checks the settings, and with --configuration also a published configuration
of the users' platform: it prints what a node would reject or not use as published.

Exit codes: 0 stopped on request, 1 an address could not be used or calls were cut
when the drain time ended, 2 bad command line or settings.
"""

FLAGS = flags.FlagValues()
flags.DEFINE_string("settings", "", "TOML file with the settings", flag_values=FLAGS)
flags.DEFINE_bool("check", False, "check the settings and exit", flag_values=FLAGS)
flags.DEFINE_string(
    "configuration",
    "",
    "with --check: published configuration to check as well",
    flag_values=FLAGS,
)

LOGGER = logging.getLogger(__name__)


def main() -> None:
    """Run the program."""
    run_program("damaskramp-node", USAGE, _main, FLAGS)


def _main(arguments: Sequence[str]) -> int:
    if arguments:
        return fail(f"damaskramp-node: unexpected argument {arguments[0]!r}")
    if not FLAGS.settings:
        return fail("damaskramp-node: --settings is required")
    if FLAGS.configuration and not FLAGS.check:
        return fail("damaskramp-node: --configuration requires --check")
    # Each kind of node imports only its own modules, which shortens the start.
    if _has_relay_table(FLAGS.settings):
        from damaskramp.cli.relay import run_relay

        return run_relay(FLAGS.settings, FLAGS.check, FLAGS.configuration)
    if FLAGS.configuration:
        return fail("damaskramp-node: --configuration requires settings with [relay]")
    return _run_node()


def _has_relay_table(path: str) -> bool:
    try:
        return is_relay_document(tomllib.loads(Path(path).read_text("utf-8")))
    except (OSError, ValueError):
        # The complete check of the settings reports the error.
        return False


def _run_node() -> int:
    restore_hangup()
    from damaskramp.config import NodeSettings, load_toml

    loaded = load_toml(FLAGS.settings, NodeSettings)
    if loaded.is_error():
        return fail(loaded.error)
    if FLAGS.check:
        return ExitCode.OK
    set_up_logs(loaded.ok.log.level)
    return asyncio.run(_serve(loaded.ok, FLAGS.settings))


async def _serve(settings: "NodeSettings", path: str) -> int:
    from damaskramp.node import Node

    node = Node(settings)
    try:
        await node.start()
    except FindingsError as error:
        return fail(error.findings)
    except OSError as error:
        print(f"{Place(path, 'listen')}: {error}", file=sys.stderr)
        return ExitCode.FAILED
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
    return ExitCode.OK if await node.stop() else ExitCode.FAILED


if __name__ == "__main__":
    main()
