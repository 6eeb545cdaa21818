"""``damaskramp-status``: status of one node, a zone or the fleet."""

import asyncio
from collections import Counter
from collections.abc import Sequence

import orjson
from absl import flags

from damaskramp.cli.common import ExitCode, fail, run_program
from damaskramp.cli.targets import define_target_flags, read_targets
from damaskramp.operations import NodeAnswer, format_table

__all__ = ["main"]

USAGE = """
damaskramp-status --node=IP:PORT            one node (may be repeated)
damaskramp-status --platform=IP:PORT        every node that the platform lists
damaskramp-status --platform=... --zone=Z   the nodes of one zone

Shows each node's state, bundle in force, members, backend server and rates, then
the backend servers that are cold, and the number of nodes on each bundle version.
Nodes that can't be reached are listed.

Exit codes: 0 success, 2 bad command line, 3 a node or the platform can't be reached.
"""

FLAGS = flags.FlagValues()
define_target_flags(FLAGS)

HEAD = ("host", "zone", "state", "bundle", "members", "service", "running", "limit")
DIGEST_DIGITS = 8


def main() -> None:
    """Run the program."""
    run_program("damaskramp-status", USAGE, _main, FLAGS)


def _main(arguments: Sequence[str]) -> int:
    if arguments:
        return fail(f"damaskramp-status: unexpected argument {arguments[0]!r}")
    return asyncio.run(_show())


async def _show() -> int:
    read = await read_targets("damaskramp-status", FLAGS, "/status")
    if read.is_error():
        return read.error
    answers = read.ok
    print(_json(answers) if FLAGS.json else _text(answers))
    missing = any(answer.document is None for answer in answers)
    return ExitCode.UNREACHABLE if missing else ExitCode.OK


def _json(answers: list[NodeAnswer]) -> str:
    documents = [
        answer.document
        or {
            "host": answer.target.host,
            "zone": answer.target.zone,
            "unreachable": answer.problem,
        }
        for answer in answers
    ]
    return orjson.dumps(documents, option=orjson.OPT_INDENT_2).decode()


def _text(answers: list[NodeAnswer]) -> str:
    parts = [format_table(HEAD, [_row(answer) for answer in answers])]
    reached = [answer.document for answer in answers if answer.document]
    parts.append(f"{len(reached)} of {len(answers)} nodes reached")
    parts.extend(filter(None, map(_warmup_text, reached)))
    versions = Counter(_bundle_text(document) for document in reached)
    for text, count in versions.most_common():
        parts.append(f"bundle {text}: {count} nodes")
    if len(versions) > 1:
        parts.append("the nodes do not agree on the bundle")
    parts.extend(_evacuation_lines(reached))
    # Nodes with the same version have the same findings, so each is printed once.
    found = {text: None for d in reached for text in d.get("findings", ())}
    parts.extend(found)
    return "\n".join(parts)


def _evacuation_lines(documents: list[dict]) -> list[str]:
    """Describe each evacuated zone, and how many nodes know of its evacuation."""
    found: dict[str, list[dict]] = {}
    for document in documents:
        for entry in document.get("evacuations", ()):
            found.setdefault(entry["zone"], []).append(entry)
    capable = sum("evacuations" in document for document in documents)
    lines = []
    for zone, entries in sorted(found.items()):
        age = max(entry["age_seconds"] for entry in entries)
        sources = Counter(entry["source"] for entry in entries)
        told = ", ".join(f"{n} by {name}" for name, n in sorted(sources.items()))
        lines.append(
            f"zone {zone} evacuated for {age:.1f} s: {len(entries)} of {capable} nodes "
            f"know ({told})"
        )
    return lines


def _row(answer: NodeAnswer) -> tuple[object, ...]:
    document = answer.document
    if document is None:
        text = f"UNREACHABLE ({answer.problem})"
        return (answer.target.host, answer.target.zone, text, "", "", "", "", "")
    backend = document["backend"]
    return (
        document["host"],
        document["zone"],
        document["state"],
        _bundle_text(document),
        _members_text(document["members"]),
        backend["service"] or "-",
        backend["running"],
        backend["limit"],
    )


def _warmup_text(document: dict) -> str:
    """Describe the warm-up of a node's backend server; empty if it is not cold."""
    warmup = document["backend"].get("warmup")
    if warmup is None or warmup["room"] is None:
        return ""
    return (
        f"{document['host']}: backend server {warmup['state'].replace('_', ' ')}, "
        f"{warmup['seconds_left']:.1f} s left, room for {warmup['room']} requests"
    )


def _bundle_text(document: dict) -> str:
    bundle = document["bundle"]
    if bundle is None:
        return "none"
    return f"{bundle['version']} ({bundle['digest'][:DIGEST_DIGITS]})"


def _members_text(members: list[dict]) -> str:
    states = Counter(member["state"] for member in members)
    others = [f"{count} {state}" for state, count in states.items() if state != "live"]
    return ", ".join([f"{states['live']} live", *others])


if __name__ == "__main__":
    main()
