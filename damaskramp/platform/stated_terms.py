"""Bounds and places that the platform states when it starts a process.

The settings file has the product's own names and is the same for all installations.
What only some installations state comes in an environment variable, as the platform's
own fields in JSON; a field that is missing leaves its setting out.
"""

from typing import Any

from damaskramp.core import Findings, Place
from damaskramp.platform.fields import (
    DecodeError,
    Fields,
    parse_duration,
    parse_number,
    parse_text,
    read_object,
)

__all__ = ["STATED_TERMS_VARIABLE", "read_stated_terms"]

STATED_TERMS_VARIABLE = "DAMASKRAMP_PLATFORM_FIELDS"
"""Environment variable with the fields that the platform states."""


def read_stated_terms(text: str, findings: Findings) -> dict[str, Any]:
    """Read the settings that the platform's fields state, by the settings' names.

    Parameters
    ----------
    text : str
        JSON text of the fields; empty if the platform states none.
    findings : Findings
        Collection that receives what can't be read. Such a field sets nothing.

    Examples
    --------
    >>> read_stated_terms('{"bounds": {"warmup-slack": 8}}', Findings())
    {'warmup_slack': 8.0}
    """
    if not text:
        return {}
    try:
        document = read_object(text.encode())
    except DecodeError as error:
        findings.warning(Place(STATED_TERMS_VARIABLE), str(error))
        return {}
    fields = Fields(document, "", findings)
    bounds = fields.optional_table("bounds")
    zones = fields.optional_table("zones")
    stated = {
        "warmup_overshoot": bounds.value("warmup-overshoot", parse_number, None),
        "warmup_slack": bounds.value("warmup-slack", parse_number, None),
        "evacuation_seconds": bounds.value("evacuation", parse_duration, None),
        "region": fields.value("region", parse_text, None),
        # Maps each availability zone to its region.
        "zone_regions": {
            zone: region
            for zone in zones.names()
            if (region := zones.value(zone, parse_text, "")) != ""
        },
    }
    return {name: value for name, value in stated.items() if value not in (None, {})}
