"""Parallel reading of many nodes, for the operators' programs."""

from damaskramp.operations.fleet_reader import FleetReader, NodeAnswer, Target
from damaskramp.operations.tables import format_table

__all__ = ["FleetReader", "NodeAnswer", "Target", "format_table"]
