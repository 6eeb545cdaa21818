"""Overload control for service call graphs.

The sub-packages without sockets (``admission``, ``balancing``, ``quota``,
``membership``, ``dedup``, ``bundle``) take time, randomness and messages as
arguments, so that other programs can embed them and tests can drive them under
a virtual clock. ``node`` wires them into the daemon ``damaskramp-node``.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
