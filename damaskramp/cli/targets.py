"""Flags that select the nodes that an operators' program reads."""

import re

from absl import flags
from expression import Error, Ok, Result

from damaskramp.cli.common import ExitCode, fail
from damaskramp.operations import FleetReader, NodeAnswer, Target

__all__ = ["define_target_flags", "read_targets"]

ADDRESS = re.compile(r"^[\[\]0-9A-Fa-f.:]+:[0-9]{1,5}$")


def define_target_flags(values: flags.FlagValues) -> None:
    """Define ``--node``, ``--platform``, ``--zone``, ``--timeout`` and ``--json``."""
    flags.DEFINE_multi_string(
        "node", [], "IP:PORT of a node's admin endpoint", flag_values=values
    )
    flags.DEFINE_string(
        "platform",
        "",
        "IP:PORT of the platform; selects the nodes that it lists",
        flag_values=values,
    )
    flags.DEFINE_string("zone", "", "only nodes of this zone", flag_values=values)
    flags.DEFINE_float("timeout", 3.0, "seconds for each node", flag_values=values)
    flags.DEFINE_bool(
        "json", False, "write JSON instead of a table", flag_values=values
    )


async def read_targets(
    program: str, values: flags.FlagValues, path: str
) -> Result[list[NodeAnswer], int]:
    """Read `path` from the nodes that the flags select.

    Returns
    -------
    Result
        An answer for each node, or the exit code after the problem was printed.
    """
    reader = FleetReader(values.timeout)
    targets = await _find_targets(values, reader)
    if targets.is_ok():
        return Ok(await reader.read(targets.ok, path))
    problem = targets.error
    unreachable = problem.startswith("platform")
    code = ExitCode.UNREACHABLE if unreachable else ExitCode.USAGE
    return Error(fail(f"{program}: {problem}", code))


async def _find_targets(
    values: flags.FlagValues, reader: FleetReader
) -> Result[list[Target], str]:
    """Return the nodes that the flags select, or a description of the problem."""
    for address in [*values.node, values.platform]:
        if address and not ADDRESS.match(address):
            return Error(f"{address!r} is not IP:PORT")
    named = [Target(address, "", address) for address in values.node]
    if not values.platform:
        return Ok(named) if named else Error("select nodes with --node or --platform")
    listed = await reader.list_targets(values.platform, values.zone)
    if listed.is_error():
        return Error(f"platform {values.platform}: {listed.error.kind.value}")
    return Ok(named + listed.ok)
