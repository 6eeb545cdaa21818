"""Flag parsing, exit codes and logging shared by the programs."""

import logging
import sys
from collections.abc import Callable, Sequence
from enum import IntEnum

from absl import flags
from pythonjsonlogger.json import JsonFormatter

from damaskramp import __version__
from damaskramp.core import Findings

__all__ = ["ExitCode", "fail", "run_program", "set_up_logs"]


class ExitCode(IntEnum):
    """Exit codes of all programs.

    ``USAGE`` means invalid input: command line, settings or bundle.
    """

    OK = 0
    FAILED = 1
    USAGE = 2
    UNREACHABLE = 3


def set_up_logs(level: str) -> None:
    """Configure logging to write JSON lines to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    fields = "%(asctime)s %(levelname)s %(name)s %(message)s"
    handler.setFormatter(JsonFormatter(fields))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())


def fail(findings: Findings | str, code: ExitCode = ExitCode.USAGE) -> int:
    """Print findings or an error message to standard error; return the exit code."""
    print(findings, file=sys.stderr)
    return int(code)


def run_program(
    program: str,
    usage: str,
    main: Callable[[Sequence[str]], int],
    values: flags.FlagValues,
) -> None:
    """Parse the command line, handle ``--help`` and ``--version``, and run `main`.

    Parameters
    ----------
    program : str
        Name of the program.
    usage : str
        Text shown by ``--help`` before the flags.
    main : callable
        Function that takes the positional arguments and returns the exit code.
    values : FlagValues
        Flags of this program.
    """
    arguments = sys.argv[1:]
    if "--version" in arguments:
        print(f"{program} {__version__}")
        sys.exit(ExitCode.OK)
    if "--help" in arguments or "-h" in arguments:
        print(usage.strip() + "\n\nFlags:\n" + _flag_help(values))
        sys.exit(ExitCode.OK)
    try:
        rest = values([program, *arguments])
    except flags.Error as error:
        print(f"{program}: {error}\nTry '{program} --help'.", file=sys.stderr)
        sys.exit(ExitCode.USAGE)
    sys.exit(main(rest[1:]))


def _flag_help(values: flags.FlagValues) -> str:
    lines = []
    for name in sorted(values):
        flag = values[name]
        lines.append(f"  --{name}: {flag.help} (default: {flag.default_as_str})")
    lines.append("  --help: show this text")
    lines.append("  --version: show the version")
    return "\n".join(lines)
