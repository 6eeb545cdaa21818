"""Consistency of the settings page and the example file with the settings models.

A key that is added, removed or given another default in the models must be changed
on the page as well.
"""

import json
import re
from collections.abc import Iterator
from pathlib import Path
from typing import get_args

from pydantic import BaseModel

from damaskramp.config import NodeSettings, load_toml
from damaskramp.testing import LoopTestCase

ROOT = Path(__file__).parents[3]
PAGE = ROOT / "docs" / "settings.md"
EXAMPLE = ROOT / "examples" / "node.toml"
TABLE = re.compile(r"## `\[([a-z_.]+)\]`")
COLUMNS = 5


def nested_model(annotation: object) -> type[BaseModel] | None:
    for kind in (annotation, *get_args(annotation)):
        if isinstance(kind, type) and issubclass(kind, BaseModel):
            return kind
    return None


def keys_of(model: type[BaseModel], table: str = "") -> Iterator[tuple[str, str]]:
    """Yield the name and default of each key; required keys have an empty default."""
    for name, field in model.model_fields.items():
        path = f"{table}.{name}".lstrip(".")
        inner = nested_model(field.annotation)
        if inner is not None:
            yield from keys_of(inner, path)
        elif field.is_required():
            yield path, ""
        else:
            yield path, json.dumps(field.default)


def keys_on_page() -> Iterator[tuple[str, str]]:
    table = ""
    for line in PAGE.read_text().splitlines():
        heading = TABLE.fullmatch(line)
        if heading:
            table = heading[1]
        if line.startswith("| `"):
            key, _, default, _, _ = split_row(line)
            yield f"{table}.{key.strip('`')}", default.strip("`")


def split_row(line: str) -> list[str]:
    cells = [cell.strip() for cell in line.strip("|").split("|")]
    if len(cells) != COLUMNS:
        raise ValueError(f"{len(cells)} cells: {line}")
    return cells


class TestSettingsPage(LoopTestCase):
    def test_page_has_every_key_once_with_its_default_and_no_other(self):
        self.assertEqual(sorted(keys_of(NodeSettings)), sorted(keys_on_page()))

    def test_every_key_has_type_and_meaning(self):
        for line in PAGE.read_text().splitlines():
            if line.startswith("| `"):
                key, kind, _, unit, meaning = split_row(line)
                self.assertTrue(kind and meaning, line)
                self.assertEqual("_seconds" in key, unit == "s", line)
                self.assertEqual("_bytes" in key, unit == "bytes", line)

    def test_example_file_is_good(self):
        loaded = load_toml(str(EXAMPLE), NodeSettings)
        self.assertTrue(loaded.is_ok(), str(loaded))
