"""Keys by which an operator requests that a zone be evacuated.

The key ``op/evacuate/ZONE`` requests it for as long as it exists, whatever its value.
"""

from collections.abc import Callable, Iterable
from typing import Any

from damaskramp.core.ids import ZoneName
from damaskramp.fleet.model import Epoch, EvacuationStatement, Revision
from damaskramp.platform.fields import DecodeError, integer_parser

__all__ = ["decode_evacuation", "decode_evacuations"]

EVACUATION_PREFIX = "op/evacuate/"

MAX_ZONE_CHARACTERS = 256
"""Longest name of a zone that is accepted, as names are handed on in messages."""


def decode_evacuation(
    key: str, entry: dict[str, Any], epoch: Epoch
) -> EvacuationStatement:
    """Decode an entry of the store, or its deletion.

    Parameters
    ----------
    entry : dict
        Entry or event of the store; any value is accepted.
    epoch : Epoch
        Epoch of the store that lists the entry.

    Raises
    ------
    DecodeError
        If the key names no zone, or the entry has no revision.

    Examples
    --------
    >>> decode_evacuation("op/evacuate/z1", {"revision": 4, "value": "?"}, Epoch(1))
    EvacuationStatement(zone='z1', evacuated=True, revision=4, epoch=1)
    """
    zone = key.removeprefix(EVACUATION_PREFIX)
    if not zone or len(zone) > MAX_ZONE_CHARACTERS:
        raise DecodeError(f"{zone[:80]!r} is no name of a zone")
    revision = Revision(integer_parser(0)(entry.get("revision")))
    return EvacuationStatement(
        ZoneName(zone), not entry.get("deleted"), revision, epoch
    )


def decode_evacuations(
    entries: Iterable[dict[str, Any]],
    epoch: Epoch,
    record_unreadable: Callable[[str, DecodeError], None],
) -> tuple[EvacuationStatement, ...]:
    """Decode the latest statement on each zone among entries or events of the store.

    Parameters
    ----------
    record_unreadable : callable
        Called with the key of an entry that can't be read, and the reason.
    """
    found: dict[str, EvacuationStatement] = {}
    for entry in entries:
        key = entry["key"]
        if not key.startswith(EVACUATION_PREFIX):
            continue
        try:
            found[key] = decode_evacuation(key, entry, epoch)
        except DecodeError as error:
            record_unreadable(key, error)
    return tuple(found.values())
