"""Benchmarks; each script prints its measurements."""
