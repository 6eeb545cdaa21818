"""Evacuations of zones in the messages between nodes.

The field is ``[epoch, revision, [[zone, evacuated, revision, epoch, age], ...]]`` in
updates, pings and pongs. It is empty from a node that knows no complete list, or where
zones are not evacuated; such a field changes nothing.
"""

from damaskramp.core import ZoneName
from damaskramp.fleet import (
    Epoch,
    EvacuationState,
    EvacuationStatement,
    ReportedStatement,
    Revision,
)
from damaskramp.fleet.evacuations import Evacuations
from damaskramp.relay.messages import check_types, unpack_position

__all__ = ["pack_evacuations", "unpack_evacuations"]

STATEMENT_TYPES = (str, bool, int, int, float)
"""Types of the elements that describe a statement and its age in seconds."""


def pack_evacuations(evacuations: Evacuations | None) -> list:
    """Pack what this node knows; empty if it knows no complete list.

    Examples
    --------
    >>> pack_evacuations(None)
    []
    """
    state = evacuations.state() if evacuations is not None else None
    if state is None:
        return []
    statements = [(*statement, age) for statement, age in state.statements]
    return [*state.position, statements]


def unpack_evacuations(field: object) -> EvacuationState | None:
    """Unpack what a peer knows; None if it knows no complete list.

    Raises
    ------
    ValueError
        If the field does not describe evacuations.
    """
    if field == []:
        return None
    if not isinstance(field, list) or len(field) != 3 or type(field[2]) is not list:
        raise ValueError(f"{field!r} does not describe evacuations")
    epoch, revision, statements = field
    return EvacuationState(
        unpack_position([epoch, revision]),
        tuple(_unpack_statement(elements) for elements in statements),
    )


def _unpack_statement(elements: object) -> ReportedStatement:
    check_types(elements, STATEMENT_TYPES, "the evacuation of a zone")
    zone, evacuated, revision, epoch, age = elements
    if not age >= 0.0:
        raise ValueError(f"{age!r} is no age")
    statement = EvacuationStatement(
        ZoneName(zone), evacuated, Revision(revision), Epoch(epoch)
    )
    return ReportedStatement(statement, age)
