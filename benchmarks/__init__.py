"""Measurements; each is run as ``python -m benchmarks.NAME``."""
