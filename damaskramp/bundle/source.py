"""Reading of bundle sources in TOML, with checks across sections."""

from collections import Counter
from collections.abc import Iterable
from pathlib import Path

from expression import Error, Ok, Result

from damaskramp.bundle.model import Bundle
from damaskramp.config.toml_input import load_toml, parse_toml
from damaskramp.config.toml_lines import LineIndex
from damaskramp.core import Findings, Place

__all__ = ["load_bundle_source", "parse_bundle_source"]


def load_bundle_source(path: str) -> Result[Bundle, Findings]:
    """Read the TOML file of a bundle and check it."""
    loaded = load_toml(path, Bundle)
    if loaded.is_error():
        return loaded
    return _cross_check(loaded.ok, Path(path).read_text("utf-8"), path)


def parse_bundle_source(text: str, source: str) -> Result[Bundle, Findings]:
    """Parse the TOML text of a bundle and check it; `source` names it in findings."""
    parsed = parse_toml(text, Bundle, source)
    if parsed.is_error():
        return parsed
    return _cross_check(parsed.ok, text, source)


def _cross_check(bundle: Bundle, text: str, source: str) -> Result[Bundle, Findings]:
    check = _CrossCheck(bundle, LineIndex(text), source)
    findings = check.run()
    return Error(findings) if findings.has_errors else Ok(bundle)


class _CrossCheck:
    """Check that names are unique and that references resolve."""

    def __init__(self, bundle: Bundle, index: LineIndex, source: str) -> None:
        self._bundle = bundle
        self._index = index
        self._source = source
        self._findings = Findings()

    def run(self) -> Findings:
        bundle = self._bundle
        self._check_unique("teams", "name", [team.name for team in bundle.teams])
        self._check_unique("services", "name", [item.name for item in bundle.services])
        self._check_unique("keys", "digest", [key.digest for key in bundle.keys])
        self._check_unique("routes", "prefix", self._route_ids())
        self._check_head()
        self._check_references()
        return self._findings

    def _route_ids(self) -> list[str]:
        return [
            f"{route.prefix} {','.join(sorted(route.methods))}"
            for route in self._bundle.routes
        ]

    def _add_error(self, path: tuple[str | int, ...], message: str) -> None:
        key = ".".join(str(part) for part in path)
        place = Place(self._source, key, self._index.line(path))
        self._findings.error(place, message)

    def _check_unique(self, section: str, field: str, values: list[str]) -> None:
        counts = Counter(values)
        seen: set[str] = set()
        for position, value in enumerate(values):
            if counts[value] > 1 and value in seen:
                self._add_error(
                    (section, position, field), f"{value!r} is listed twice"
                )
            seen.add(value)

    def _check_head(self) -> None:
        head = self._bundle.bundle
        if head.expires is not None and head.expires <= head.issued:
            self._add_error(("bundle", "expires"), "must be after issued")
        self._check_known(("bundle", "roll_first"), head.roll_first, head.zones, "zone")

    def _check_references(self) -> None:
        bundle = self._bundle
        zones = bundle.bundle.zones
        teams = [team.name for team in bundle.teams]
        services = [item.name for item in bundle.services]
        for position, team in enumerate(bundle.teams):
            path = ("teams", position, "zone_shares")
            self._check_known(path, team.zone_shares, zones, "zone")
        for position, key in enumerate(bundle.keys):
            self._check_known(("keys", position, "team"), [key.team], teams, "team")
        for position, item in enumerate(bundle.services):
            self._check_known(
                ("services", position, "zones"), item.zones, zones, "zone"
            )
        for position, route in enumerate(bundle.routes):
            path = ("routes", position, "service")
            self._check_known(path, [route.service], services, "service")
            path = ("routes", position, "priority")
            self._check_known(path, [route.priority], bundle.bundle.classes, "class")
        for position, goal in enumerate(bundle.objectives):
            path = ("objectives", position, "service")
            self._check_known(path, [goal.service], services, "service")
            classes = [*bundle.bundle.classes, ""]
            path = ("objectives", position, "priority")
            self._check_known(path, [goal.priority], classes, "class")

    def _check_known(
        self,
        path: tuple[str | int, ...],
        names: Iterable[str],
        known: Iterable[str],
        kind: str,
    ) -> None:
        for name in names:
            if name not in known:
                self._add_error(path, f"no {kind} is named {name!r}")
