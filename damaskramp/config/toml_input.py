"""Validation of TOML documents against models, with all findings reported at once."""

import re
import tomllib
from pathlib import Path
from typing import TypeVar

from expression import Error, Ok, Result
from pydantic import BaseModel, ValidationError

from damaskramp.config.toml_lines import LineIndex
from damaskramp.core import Findings, Place

__all__ = ["load_toml", "parse_toml"]

M = TypeVar("M", bound=BaseModel)

SYNTAX_LINE = re.compile(r"\(at line (\d+)")


def load_toml(path: str, model: type[M]) -> Result[M, Findings]:
    """Read a TOML file and validate it.

    Parameters
    ----------
    path : str
        File to read.
    model : type
        Pydantic model that the document must match.

    Returns
    -------
    Result
        The model, or every finding with file, line and key.
    """
    try:
        text = Path(path).read_bytes().decode("utf-8")
    except OSError as error:
        return Error(_one_finding(Place(path), error.strerror or str(error)))
    except UnicodeDecodeError as error:
        return Error(_one_finding(Place(path), f"not UTF-8 at byte {error.start}"))
    return parse_toml(text, model, path)


def parse_toml(text: str, model: type[M], source: str) -> Result[M, Findings]:
    """Validate a TOML document.

    Parameters and result are those of `load_toml`; `source` names the document in
    findings.

    Examples
    --------
    >>> from pydantic import BaseModel
    >>> class Point(BaseModel):
    ...     x: int
    ...     y: int
    >>> print(parse_toml("x = 'a'", Point, "point.toml").error)
    point.toml:1: x: error: Input should be a valid integer, ...
    point.toml: y: error: Field required
    """
    if not text.strip():
        return Error(_one_finding(Place(source), "file is empty"))
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        found = SYNTAX_LINE.search(str(error))
        line = int(found.group(1)) if found else 0
        return Error(_one_finding(Place(source, "", line), str(error)))
    try:
        return Ok(model.model_validate(document))
    except ValidationError as error:
        return Error(_from_validation(error, LineIndex(text), source))


def _one_finding(place: Place, message: str) -> Findings:
    findings = Findings()
    findings.error(place, message)
    return findings


def _from_validation(error: ValidationError, index: LineIndex, source: str) -> Findings:
    findings = Findings()
    for detail in error.errors(include_url=False, include_input=False):
        path = tuple(detail["loc"])
        message = detail["msg"].removeprefix("Value error, ")
        if detail["type"] == "extra_forbidden":
            message = "unknown key"
        key = ".".join(str(part) for part in path)
        findings.error(Place(source, key, index.line(path)), message)
    return findings
