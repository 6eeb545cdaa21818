"""``damaskramp-burn``: burn rates of error budgets, and when they are exhausted."""

import asyncio
from collections import Counter
from collections.abc import Sequence

from absl import flags
from pydantic import TypeAdapter, ValidationError

from damaskramp.cli.common import ExitCode, fail, run_program
from damaskramp.cli.targets import define_target_flags, read_targets
from damaskramp.operations import NodeAnswer
from damaskramp.slo import compute_burn
from damaskramp.slo.burn import Goal, NodeWindows
from damaskramp.slo.report import to_json, to_page, to_table

__all__ = ["main"]

USAGE = """
damaskramp-burn --platform=IP:PORT [--zone=Z]   nodes that the platform lists
damaskramp-burn --node=IP:PORT                  one node (may be repeated)

Shows the burn rate of each service-level objective, per service, class and team,
over windows from 5 minutes to 3 days: as a table, as JSON (--json), or as a
self-contained page (--page=FILE). A percentage in brackets is the part of the window
in which the nodes were running and counted.

Exit codes: 0 no budget burns too fast, 1 a budget does, 2 bad command line, 3 a node
or the platform can't be reached.
"""

FLAGS = flags.FlagValues()
define_target_flags(FLAGS)
flags.DEFINE_string("page", "", "write an HTML page to this file", flag_values=FLAGS)

WINDOWS = TypeAdapter(tuple[NodeWindows, ...])
GOALS = TypeAdapter(tuple[Goal, ...])


def main() -> None:
    """Run the program."""
    run_program("damaskramp-burn", USAGE, _main, FLAGS)


def _main(arguments: Sequence[str]) -> int:
    if arguments:
        return fail(f"damaskramp-burn: unexpected argument {arguments[0]!r}")
    return asyncio.run(_report())


async def _report() -> int:
    found = await read_targets("damaskramp-burn", FLAGS, "/slo")
    if found.is_error():
        return found.error
    answers = found.ok
    read = [answer for answer in answers if answer.document is not None]
    try:
        goals, windows = _parse(read)
    except ValidationError as error:
        return fail(f"damaskramp-burn: a node's answer can't be read: {error}")
    burns = compute_burn(goals, windows)
    reached = _reached_text(answers)
    if FLAGS.page:
        try:
            with open(FLAGS.page, "w", encoding="utf-8") as file:
                file.write(to_page(burns, reached))
        except OSError as error:
            return fail(f"{FLAGS.page}: {error.strerror}", ExitCode.FAILED)
    print(to_json(burns, reached) if FLAGS.json else to_table(burns, reached))
    if len(read) < len(answers):
        return ExitCode.UNREACHABLE
    return ExitCode.FAILED if any(burn.alert for burn in burns) else ExitCode.OK


def _reached_text(answers: list[NodeAnswer]) -> str:
    """Return how many nodes were read, and why the others were not."""
    problems = Counter(a.problem for a in answers if a.document is None)
    parts = [f"{len(answers) - problems.total()} of {len(answers)} nodes read"]
    parts += [f"{count} not read: {why}" for why, count in problems.most_common()]
    return "; ".join(parts)


def _parse(read: list[NodeAnswer]) -> tuple[list[Goal], list[NodeWindows]]:
    """Return the goals of the newest bundle, and the windows of all nodes."""
    windows: list[NodeWindows] = []
    newest: dict = {"version": 0, "goals": []}
    for answer in read:
        windows += WINDOWS.validate_python(answer.document["series"])
        if answer.document["version"] >= newest["version"]:
            newest = answer.document
    return list(GOALS.validate_python(newest["goals"])), windows


if __name__ == "__main__":
    main()
