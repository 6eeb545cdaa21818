"""Readable list of the differences between two bundles."""

from collections.abc import Iterable
from dataclasses import dataclass

from damaskramp.bundle.model import Bundle
from damaskramp.config.settings import Settings

__all__ = ["Change", "diff_bundles"]


@dataclass(frozen=True, slots=True)
class Change:
    """One difference between two bundles.

    Attributes
    ----------
    subject : str
        Entity that the change affects, such as ``team clubs``.
    text : str
        Description of the change.
    """

    subject: str
    text: str

    def __str__(self) -> str:
        return f"{self.subject}: {self.text}"


def diff_bundles(old: Bundle, new: Bundle) -> list[Change]:
    """List the differences from `old` to `new`."""
    changes = _diff_fields("bundle", old.bundle, new.bundle)
    changes += _diff_named("team", old.teams, new.teams, "name")
    changes += _diff_keys(old, new)
    changes += _diff_named("service", old.services, new.services, "name")
    changes += _diff_routes(old, new)
    changes += _diff_objectives(old, new)
    return changes


def _diff_fields(subject: str, old: Settings, new: Settings) -> list[Change]:
    changes = []
    for name in type(new).model_fields:
        before, after = getattr(old, name), getattr(new, name)
        if before != after:
            text = (
                f"{name} changes from {_format_value(before)} to {_format_value(after)}"
            )
            changes.append(Change(subject, text))
    return changes


def _format_value(value: object) -> str:
    if isinstance(value, tuple):
        return "[" + ", ".join(str(item) for item in value) + "]"
    return str(value)


def _diff_named(
    kind: str, old: Iterable[Settings], new: Iterable[Settings], field: str
) -> list[Change]:
    before = {getattr(item, field): item for item in old}
    after = {getattr(item, field): item for item in new}
    return _diff_maps(kind, before, after)


def _diff_maps(kind: str, before: dict, after: dict) -> list[Change]:
    changes = [
        Change(f"{kind} {name}", "removed") for name in before if name not in after
    ]
    for name, item in after.items():
        subject = f"{kind} {name}"
        if name not in before:
            changes.append(Change(subject, "added"))
        else:
            changes += _diff_fields(subject, before[name], item)
    return changes


def _diff_keys(old: Bundle, new: Bundle) -> list[Change]:
    before = {key.digest: key.team for key in old.keys}
    after = {key.digest: key.team for key in new.keys}
    changes = []
    for digest in before.keys() - after.keys():
        changes.append(Change(f"team {before[digest]}", f"loses key {digest[:12]}…"))
    for digest, team in after.items():
        if digest not in before:
            changes.append(Change(f"team {team}", f"gets key {digest[:12]}…"))
        elif before[digest] != team:
            text = f"takes key {digest[:12]}… from team {before[digest]}"
            changes.append(Change(f"team {team}", text))
    for digest in new.withdrawn_keys:
        if digest not in old.withdrawn_keys:
            team = before.get(digest, after.get(digest, "unknown"))
            changes.append(Change(f"team {team}", f"key {digest[:12]}… withdrawn"))
    for digest in old.withdrawn_keys:
        if digest not in new.withdrawn_keys:
            text = f"key {digest[:12]}… is no longer listed: nodes that start later "
            text += "accept it where a team lists it"
            changes.append(Change("withdrawn keys", text))
    return sorted(changes, key=str)


def _diff_routes(old: Bundle, new: Bundle) -> list[Change]:
    before = {(",".join(r.methods) or "*") + " " + r.prefix: r for r in old.routes}
    after = {(",".join(r.methods) or "*") + " " + r.prefix: r for r in new.routes}
    return _diff_maps("route", before, after)


def _diff_objectives(old: Bundle, new: Bundle) -> list[Change]:
    before = {f"{goal.service} {goal.priority or '*'}": goal for goal in old.objectives}
    after = {f"{goal.service} {goal.priority or '*'}": goal for goal in new.objectives}
    return _diff_maps("objective", before, after)
