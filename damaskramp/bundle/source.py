"""The TOML source of a bundle, with the checks that span its sections."""

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
    """Read and check a bundle's TOML file."""
    loaded = load_toml(path, Bundle)
    if loaded.is_error():
        return loaded
    return _check_whole(loaded.ok, Path(path).read_text("utf-8"), path)


def parse_bundle_source(text: str, source: str) -> Result[Bundle, Findings]:
    """Check a bundle's TOML text."""
    parsed = parse_toml(text, Bundle, source)
    if parsed.is_error():
        return parsed
    return _check_whole(parsed.ok, text, source)


def _check_whole(bundle: Bundle, text: str, source: str) -> Result[Bundle, Findings]:
    check = _CrossCheck(bundle, LineIndex(text), source)
    findings = check.run()
    return Error(findings) if findings.has_errors else Ok(bundle)


class _CrossCheck:
    """Names that must be unique and references that must resolve."""

    def __init__(self, bundle: Bundle, index: LineIndex, source: str) -> None:
        self._bundle = bundle
        self._index = index
        self._source = source
        self._findings = Findings()

    def run(self) -> Findings:
        bundle = self._bundle
        self._unique("teams", "name", [team.name for team in bundle.teams])
        self._unique("services", "name", [item.name for item in bundle.services])
        self._unique("keys", "digest", [key.digest for key in bundle.keys])
        self._unique("routes", "prefix", self._route_ids())
        self._check_head()
        self._check_references()
        return self._findings

    def _route_ids(self) -> list[str]:
        return [
            f"{route.prefix} {','.join(sorted(route.methods))}"
            for route in self._bundle.routes
        ]

    def _error(self, path: tuple[str | int, ...], message: str) -> None:
        key = ".".join(str(part) for part in path)
        place = Place(self._source, key, self._index.line(path))
        self._findings.error(place, message)

    def _unique(self, section: str, field: str, values: list[str]) -> None:
        counts = Counter(values)
        seen: set[str] = set()
        for position, value in enumerate(values):
            if counts[value] > 1 and value in seen:
                self._error((section, position, field), f"{value!r} stands twice")
            seen.add(value)

    def _check_head(self) -> None:
        head = self._bundle.bundle
        if head.expires is not None and head.expires <= head.issued:
            self._error(("bundle", "expires"), "must be after issued")
        self._known(("bundle", "roll_first"), head.roll_first, head.zones, "zone")

    def _check_references(self) -> None:
        bundle = self._bundle
        zones = bundle.bundle.zones
        teams = [team.name for team in bundle.teams]
        services = [item.name for item in bundle.services]
        for position, team in enumerate(bundle.teams):
            path = ("teams", position, "zone_shares")
            self._known(path, team.zone_shares, zones, "zone")
        for position, key in enumerate(bundle.keys):
            self._known(("keys", position, "team"), [key.team], teams, "team")
        for position, item in enumerate(bundle.services):
            self._known(("services", position, "zones"), item.zones, zones, "zone")
        for position, route in enumerate(bundle.routes):
            path = ("routes", position, "service")
            self._known(path, [route.service], services, "service")
            path = ("routes", position, "priority")
            self._known(path, [route.priority], bundle.bundle.classes, "class")
        for position, goal in enumerate(bundle.objectives):
            path = ("objectives", position, "service")
            self._known(path, [goal.service], services, "service")
            classes = [*bundle.bundle.classes, ""]
            path = ("objectives", position, "priority")
            self._known(path, [goal.priority], classes, "class")

    def _known(
        self,
        path: tuple[str | int, ...],
        names: Iterable[str],
        known: Iterable[str],
        kind: str,
    ) -> None:
        for name in names:
            if name not in known:
                self._error(path, f"no {kind} is named {name!r}")
